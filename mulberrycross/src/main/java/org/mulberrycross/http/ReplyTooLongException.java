package org.mulberrycross.http;

/**
 * The body of a reply is longer than its call allows. A reader may catch it and use what
 * it has read.
 */
public final class ReplyTooLongException extends IncompleteReplyException {

	private static final long serialVersionUID = 1;

	ReplyTooLongException(int maxBytes) {
		super("reply is longer than " + maxBytes + " bytes", null);
	}

}
