/**
 * HTTP client for calls to plain services, and JSON encoding of intent records.
 */
package org.mulberrycross.service.http;
