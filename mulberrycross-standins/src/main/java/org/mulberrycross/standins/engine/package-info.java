/**
 * Stand-in for a model engine: runs steps, keeps caches of streams, accepts setup orders
 * and injects faults.
 */
package org.mulberrycross.standins.engine;
