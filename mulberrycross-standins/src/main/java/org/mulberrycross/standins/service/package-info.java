/**
 * Stand-in for a plain service with a booking that must not be repeated.
 */
package org.mulberrycross.standins.service;
