package org.mulberrycross.http;

import java.io.IOException;

/**
 * Reading the body of a reply failed before its end: the connection closed, went silent
 * or is too slow, or the reply is too long.
 */
public class IncompleteReplyException extends IOException {

	private static final long serialVersionUID = 1;

	IncompleteReplyException(String message, Throwable cause) {
		super(message, cause);
	}

}
