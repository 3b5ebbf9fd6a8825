/**
 * Vocabulary that the packages of all peers share: peers, steps, errors, time and the
 * control thread.
 */
package org.mulberrycross;
