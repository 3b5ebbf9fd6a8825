/**
 * JSON encoding of the operators' objects, as stored in the object API and in files.
 */
package org.mulberrycross.operator.json;
