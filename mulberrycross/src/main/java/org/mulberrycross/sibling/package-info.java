/**
 * Decisions about other daemons: who they are, what they tell one another, and how they
 * share the teams' limits. The wire encoding is in {@code sibling.http}.
 */
package org.mulberrycross.sibling;
