/**
 * HTTP access to the burn reports of daemons and their rendering for operators.
 */
package org.mulberrycross.operator.http;
