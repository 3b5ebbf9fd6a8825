/**
 * The daemon that relays requests between callers and upstreams of a platform: decides on
 * the control thread, moves bytes on traffic threads.
 */
package org.mulberrycross.router.relay;
