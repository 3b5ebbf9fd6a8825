/**
 * Decisions about callers' requests: admission control, team limits, routing rules and
 * the answers to send. The HTTP encoding is in {@code caller.http}.
 */
package org.mulberrycross.caller;
