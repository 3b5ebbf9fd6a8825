/**
 * HTTP transport and JSON encoding of the messages between daemons.
 */
package org.mulberrycross.sibling.http;
