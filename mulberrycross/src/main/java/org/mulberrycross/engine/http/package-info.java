/**
 * Messages between the router and engines, encoded as JSON over HTTP.
 */
package org.mulberrycross.engine.http;
