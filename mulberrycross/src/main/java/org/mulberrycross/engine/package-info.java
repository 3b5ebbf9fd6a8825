/**
 * Decisions about model engines: which engines form a route, how a stream runs over it,
 * and how it recovers when an engine fails. The wire encoding is in {@code engine.http}.
 */
package org.mulberrycross.engine;
