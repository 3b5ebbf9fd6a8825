/**
 * Assembles the parts of all peers into one router daemon and reads its settings.
 */
package org.mulberrycross.router;
