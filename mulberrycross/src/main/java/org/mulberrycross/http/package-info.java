/**
 * HTTP clients, HTTP servers and the JSON mapper, shared by the packages that encode
 * messages to and from peers. Packages that make decisions must not depend on this one.
 */
package org.mulberrycross.http;
