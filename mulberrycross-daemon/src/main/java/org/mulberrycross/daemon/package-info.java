/**
 * Entry points: the main classes of the router daemon and of the operators' command line.
 */
package org.mulberrycross.daemon;
