/**
 * Calls to plain services: which of them may be repeated, the ledger of the calls that
 * must not be, and the choice among the upstreams of a service.
 */
package org.mulberrycross.service;
