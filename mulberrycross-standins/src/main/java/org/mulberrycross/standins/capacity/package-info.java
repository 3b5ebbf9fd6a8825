/**
 * Capacity measurements: the cost of membership, gossip and limit shares in large fleets,
 * and a comparison of designs for team limits.
 */
package org.mulberrycross.standins.capacity;
