/**
 * Load generator: sends requests in an open loop, checks every answer and reports
 * latency, throughput and fairness. Also measures the overhead of a daemon and the
 * recovery of streams after the loss of an engine.
 */
package org.mulberrycross.standins.load;
