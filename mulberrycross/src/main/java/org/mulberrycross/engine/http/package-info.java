/**
 * HTTP and JSON encoding of the messages between the router and engines.
 */
package org.mulberrycross.engine.http;
