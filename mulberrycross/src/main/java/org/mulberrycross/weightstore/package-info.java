/**
 * Decisions about the weight store that engines load from.
 */
package org.mulberrycross.weightstore;
