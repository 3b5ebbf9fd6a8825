/**
 * Types shared by the packages of all peers: peers, processing steps, exceptions, clocks
 * and the control thread.
 */
package org.mulberrycross;
