/**
 * Rate limiting of the loads from the weight store that engines read model weights from.
 */
package org.mulberrycross.weightstore;
