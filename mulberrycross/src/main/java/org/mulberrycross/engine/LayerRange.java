package org.mulberrycross.engine;

/**
 * Half-open range of consecutive layers. Immutable and thread-safe.
 *
 * @param first the first layer, counted from 0
 * @param end the layer after the last one
 */
public record LayerRange(int first, int end) {

	/**
	 * Creates a range.
	 * @param first the first layer, 0 or more
	 * @param end the layer after the last one, greater than {@code first}
	 * @throws IllegalArgumentException if the range is empty or starts below layer 0
	 */
	public LayerRange {
		if (first < 0 || end <= first) {
			throw new IllegalArgumentException("layer range [" + first + ", " + end + ") is empty or starts below 0");
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the number, at least 1
	 */
	public int size() {
		return this.end - this.first;
	}

	/**
	 * Returns whether this range contains every layer of another.
	 * @param other the other range, not null
	 * @return true if it contains them all
	 */
	public boolean contains(LayerRange other) {
		return this.first <= other.first && other.end <= this.end;
	}

	/**
	 * Returns whether this range contains a layer.
	 * @param layer the layer
	 * @return true if it contains the layer
	 */
	public boolean contains(int layer) {
		return this.first <= layer && layer < this.end;
	}

	@Override
	public String toString() {
		return "[" + this.first + ", " + this.end + ")";
	}

}
