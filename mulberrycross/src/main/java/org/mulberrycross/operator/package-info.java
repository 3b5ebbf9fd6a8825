/**
 * The objects that operators edit, the validation of a configuration, the status of edits
 * and the burn reports of the service-level objectives.
 */
package org.mulberrycross.operator;
