/**
 * Load tool: sends requests in an open loop, checks every answer and reports latency,
 * throughput and fairness.
 */
package org.mulberrycross.standins.load;
