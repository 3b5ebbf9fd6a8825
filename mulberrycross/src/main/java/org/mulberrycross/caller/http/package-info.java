/**
 * HTTP and JSON encoding of callers' requests and answers.
 */
package org.mulberrycross.caller.http;
