/**
 * Rate limiting of the loads of model weights that engines read from the weight store.
 */
package org.mulberrycross.weightstore;
