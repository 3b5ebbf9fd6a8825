/**
 * Stand-in for a model engine.
 */
package org.mulberrycross.standins.engine;
