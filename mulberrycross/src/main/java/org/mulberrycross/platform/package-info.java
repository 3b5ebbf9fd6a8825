/**
 * Publishing and following the configuration through the platform's object API, and
 * access to the platform's instance list. The wire encoding is in {@code platform.http}.
 */
package org.mulberrycross.platform;
