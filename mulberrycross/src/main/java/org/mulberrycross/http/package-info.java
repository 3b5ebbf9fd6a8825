/**
 * HTTP client, HTTP server and JSON mapper that the encodings towards all peers share.
 * Decisions never import this package.
 */
package org.mulberrycross.http;
