package org.mulberrycross.operator;

/**
 * Ring buffer of event counts with one slot for each of the last minutes. Not
 * thread-safe; owned by the control thread.
 */
final class MinuteRing {

	private final int[] good;

	private final int[] bad;

	private long newestMinute = Long.MIN_VALUE;

	MinuteRing(int capacityMinutes) {
		this.good = new int[capacityMinutes];
		this.bad = new int[capacityMinutes];
	}

	void add(long minute, int goodEvents, int badEvents) {
		advance(minute);
		int slot = slotIndex(minute);
		this.good[slot] += goodEvents;
		this.bad[slot] += badEvents;
	}

	/**
	 * Returns the sum of the counts over the last minutes.
	 * @param minute the current minute
	 * @param minutes the number of minutes, including the current one; at most the
	 * capacity of the ring
	 * @return the sum
	 */
	EventCount sum(long minute, int minutes) {
		advance(minute);
		long goodSum = 0;
		long badSum = 0;
		for (long summedMinute = minute; summedMinute > minute - minutes; summedMinute--) {
			goodSum += this.good[slotIndex(summedMinute)];
			badSum += this.bad[slotIndex(summedMinute)];
		}
		return new EventCount(goodSum, badSum);
	}

	// Clears the slots of the minutes after the newest one, up to the given minute.
	private void advance(long minute) {
		if (this.newestMinute == Long.MIN_VALUE) {
			this.newestMinute = minute;
		}
		long firstNewMinute = Math.max(this.newestMinute + 1, minute - this.good.length + 1);
		for (long newMinute = firstNewMinute; newMinute <= minute; newMinute++) {
			this.good[slotIndex(newMinute)] = 0;
			this.bad[slotIndex(newMinute)] = 0;
		}
		this.newestMinute = Math.max(this.newestMinute, minute);
	}

	private int slotIndex(long minute) {
		return Math.floorMod(minute, this.good.length);
	}

}
