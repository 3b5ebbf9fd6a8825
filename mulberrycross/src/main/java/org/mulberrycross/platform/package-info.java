/**
 * Decisions about what is kept in the platform's object API and about the instance list.
 * The wire encoding is in {@code platform.http}.
 */
package org.mulberrycross.platform;
