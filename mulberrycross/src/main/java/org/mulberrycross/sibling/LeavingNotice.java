package org.mulberrycross.sibling;

/**
 * Says that an upstream is leaving. It holds for that incarnation and all earlier ones.
 * Immutable and thread-safe.
 *
 * @param upstream the name of the upstream
 * @param incarnation the start time of the upstream in milliseconds, 0 if not known
 */
public record LeavingNotice(String upstream, long incarnation) {

}
