/**
 * What operators state and read: the objects that they edit, the validation of these
 * objects as a whole, and status.
 */
package org.mulberrycross.operator;
