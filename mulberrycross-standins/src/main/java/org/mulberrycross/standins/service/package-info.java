/**
 * Stand-in for a plain service with a booking operation that is not idempotent, and
 * programs that test and measure the intent ledger with it.
 */
package org.mulberrycross.standins.service;
