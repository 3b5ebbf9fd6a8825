/**
 * Measurement of what the control parts of many daemons cost.
 */
package org.mulberrycross.standins.capacity;
