/**
 * HTTP handlers for callers' requests, with JSON and server-sent event encoding.
 */
package org.mulberrycross.caller.http;
