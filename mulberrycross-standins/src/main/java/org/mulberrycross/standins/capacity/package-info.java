/**
 * Capacity measurements: the cost of membership, gossip and limit shares in large fleets,
 * and a comparison of ways to enforce team limits.
 */
package org.mulberrycross.standins.capacity;
