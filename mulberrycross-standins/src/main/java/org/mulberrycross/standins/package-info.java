/**
 * Small stand-ins for the systems around the router, each run as a separate process. They
 * contain none of the router's decision logic.
 */
package org.mulberrycross.standins;
