/**
 * Decisions about model engines: which engines form a route, how a stream runs over it,
 * and what happens when a stage is lost. The wire encoding is in {@code engine.http}.
 */
package org.mulberrycross.engine;
