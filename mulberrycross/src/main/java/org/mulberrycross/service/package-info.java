/**
 * Calls to plain services: retries of idempotent calls, intent records that keep other
 * calls from running twice, and the choice among the upstreams of a service.
 */
package org.mulberrycross.service;
