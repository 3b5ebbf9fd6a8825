/**
 * Small stand-ins for the systems around the router, each run as a process of its own.
 * They make no decisions of the router's.
 */
package org.mulberrycross.standins;
