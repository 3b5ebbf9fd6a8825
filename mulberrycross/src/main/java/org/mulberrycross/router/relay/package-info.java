/**
 * The daemon that relays requests between clients and the upstreams of a platform.
 * Decisions are made on the control thread; traffic threads move bytes and call peers.
 */
package org.mulberrycross.router.relay;
