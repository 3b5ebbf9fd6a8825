/**
 * HTTP, JSON and HTML forms of what operators read from daemons.
 */
package org.mulberrycross.operator.http;
