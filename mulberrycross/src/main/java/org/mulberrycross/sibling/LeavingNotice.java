package org.mulberrycross.sibling;

/**
 * Announces that an upstream is leaving. It applies to the given incarnation and all
 * earlier ones. Immutable and thread-safe.
 *
 * @param upstream the name of the upstream
 * @param incarnation the start time of the upstream in milliseconds, 0 if unknown
 */
public record LeavingNotice(String upstream, long incarnation) {

}
