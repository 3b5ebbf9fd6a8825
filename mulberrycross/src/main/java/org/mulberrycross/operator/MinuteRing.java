package org.mulberrycross.operator;

/**
 * Counts of events in the last minutes. Not thread-safe; owned by the control thread.
 */
final class MinuteRing {

	private final int[] good;

	private final int[] bad;

	private long newest = Long.MIN_VALUE;

	MinuteRing(int minutes) {
		this.good = new int[minutes];
		this.bad = new int[minutes];
	}

	void add(long minute, int goodEvents, int badEvents) {
		advance(minute);
		int slot = slot(minute);
		this.good[slot] += goodEvents;
		this.bad[slot] += badEvents;
	}

	/**
	 * Returns the sum over the last minutes.
	 * @param minute the current minute
	 * @param minutes the number of minutes, the current one included
	 * @return the sum
	 */
	EventCount sum(long minute, int minutes) {
		advance(minute);
		long goodSum = 0;
		long badSum = 0;
		for (long past = minute; past > minute - minutes; past--) {
			goodSum += this.good[slot(past)];
			badSum += this.bad[slot(past)];
		}
		return new EventCount(goodSum, badSum);
	}

	private void advance(long minute) {
		if (this.newest == Long.MIN_VALUE) {
			this.newest = minute;
		}
		long first = Math.max(this.newest + 1, minute - this.good.length + 1);
		for (long cleared = first; cleared <= minute; cleared++) {
			this.good[slot(cleared)] = 0;
			this.bad[slot(cleared)] = 0;
		}
		this.newest = Math.max(this.newest, minute);
	}

	private int slot(long minute) {
		return Math.floorMod(minute, this.good.length);
	}

}
