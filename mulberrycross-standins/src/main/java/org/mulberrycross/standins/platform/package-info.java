/**
 * Stand-in for the platform's object API and instance list.
 */
package org.mulberrycross.standins.platform;
