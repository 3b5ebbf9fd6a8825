/**
 * JSON form of the operators' objects, as stored in the object API.
 */
package org.mulberrycross.operator.json;
