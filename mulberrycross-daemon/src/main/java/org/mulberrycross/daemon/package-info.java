/**
 * Thin main classes: the router daemon and the operators' command line.
 */
package org.mulberrycross.daemon;
