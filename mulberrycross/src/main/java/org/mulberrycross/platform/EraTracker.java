package org.mulberrycross.platform;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Latest era that any response of the store has named. Thread-safe.
 *
 * <table>
 * <caption>Responses after one of era 3</caption>
 * <tr>
 * <th>era of the response</th>
 * <th>result</th>
 * </tr>
 * <tr>
 * <td>3</td>
 * <td>current</td>
 * </tr>
 * <tr>
 * <td>4 or higher</td>
 * <td>current, the new era is logged</td>
 * </tr>
 * <tr>
 * <td>2 or lower</td>
 * <td>outdated</td>
 * </tr>
 * <tr>
 * <td>none or not a number</td>
 * <td>current, with an unknown position</td>
 * </tr>
 * </table>
 */
public final class EraTracker {

	/**
	 * Eras above are taken for invalid, so that fencing numbers derived from an era do
	 * not overflow.
	 */
	static final long MAX_ERA = 1_000_000_000L;

	private static final Logger logger = LoggerFactory.getLogger(EraTracker.class);

	private final AtomicReference<OptionalLong> latest = new AtomicReference<>(OptionalLong.empty());

	private final AtomicReference<String> loggedIrregularity = new AtomicReference<>("");

	/**
	 * Returns the latest era that a response has named.
	 * @return the era, empty if none has named a valid one
	 */
	public OptionalLong latest() {
		return this.latest.get();
	}

	/**
	 * Decodes the era of a response.
	 * @param text the text that names the era, not null
	 * @return the era, empty if the text is not a number from 0 to 1,000,000,000
	 */
	public OptionalLong decode(String text) {
		try {
			long era = Long.parseLong(text.trim());
			if (era >= 0 && era <= MAX_ERA) {
				return OptionalLong.of(era);
			}
		}
		catch (NumberFormatException ex) {
			// Logged below, like a number out of range.
		}
		logIrregularity("invalid era '" + text + "'");
		return OptionalLong.empty();
	}

	/**
	 * Records the era of a response.
	 * @param era the era, empty if the response names none, not null
	 * @return whether the response may be used; false if a later era has begun
	 */
	public boolean accept(OptionalLong era) {
		OptionalLong before = this.latest.getAndUpdate((known) -> later(known, era));
		if (before.isEmpty()) {
			return true;
		}
		if (era.isEmpty()) {
			logIrregularity("no era");
			return true;
		}
		if (era.getAsLong() < before.getAsLong()) {
			logIrregularity("era " + era.getAsLong());
			return false;
		}
		if (era.getAsLong() > before.getAsLong()) {
			this.loggedIrregularity.set("");
			logger.atWarn()
				.addKeyValue("era", era.getAsLong())
				.addKeyValue("before", before.getAsLong())
				.log("store came back from an older copy");
		}
		return true;
	}

	private static OptionalLong later(OptionalLong known, OptionalLong named) {
		boolean isLater = named.isPresent() && (known.isEmpty() || named.getAsLong() > known.getAsLong());
		return isLater ? named : known;
	}

	// Logs a repeated irregularity once, since all responses may have it.
	private void logIrregularity(String irregularity) {
		if (!irregularity.equals(this.loggedIrregularity.getAndSet(irregularity))) {
			logger.atWarn()
				.addKeyValue("latest_era", this.latest.get())
				.addKeyValue("response", irregularity)
				.log("response of the store has an unexpected era");
		}
	}

}
