/**
 * Decisions about callers: who may send what, in which order requests run, and what each
 * caller is told. The wire encoding is in {@code caller.http}.
 */
package org.mulberrycross.caller;
