/**
 * HTTP and JSON encoding of the platform's object API and instance list.
 */
package org.mulberrycross.platform.http;
