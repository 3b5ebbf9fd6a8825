package org.mulberrycross.router.relay;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mulberrycross.engine.CrashAttribution;
import org.mulberrycross.http.RelayRequest;

/**
 * Digest of the content of a request, which is the same when its client sends it again
 * under another id. Tells nothing of the content. Thread-safe.
 */
final class RequestFingerprint {

	/** Length of the part of the body that counts, beside the length of the body. */
	private static final int MAX_BODY_BYTES = 64 << 10;

	private static final int DIGEST_BYTES = 8;

	private RequestFingerprint() {
	}

	static String of(String host, RelayRequest request) {
		MessageDigest digest = sha256();
		byte[] body = request.body();
		for (String field : new String[] { request.method(), host, request.target() }) {
			byte[] bytes = field.getBytes(StandardCharsets.UTF_8);
			digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
			digest.update(bytes);
		}
		digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(body.length).array());
		digest.update(body, 0, Math.min(body.length, MAX_BODY_BYTES));
		return CrashAttribution.REQUEST_PREFIX + HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
	}

	private static MessageDigest sha256() {
		try {
			return MessageDigest.getInstance("SHA-256");
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java platform has SHA-256", ex);
		}
	}

}
