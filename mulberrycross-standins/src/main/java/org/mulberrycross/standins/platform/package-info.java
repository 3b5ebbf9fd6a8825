/**
 * Stand-in for the object API and the instance list of the platform, in memory and with
 * injected faults.
 */
package org.mulberrycross.standins.platform;
