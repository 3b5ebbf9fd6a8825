/**
 * Assembly of the router daemon: its settings, its control state, and the wiring of the
 * packages for each peer.
 */
package org.mulberrycross.router;
