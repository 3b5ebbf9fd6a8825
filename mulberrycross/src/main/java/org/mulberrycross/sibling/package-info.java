/**
 * Coordination with other daemons: membership, gossip, and division of the teams' limits.
 * This package contains the decisions and the message types. The wire encoding is in the
 * package {@code sibling.http}.
 */
package org.mulberrycross.sibling;
