package org.mulberrycross.engine;

/**
 * A half-open range of layers. Immutable and thread-safe.
 *
 * @param first the first layer
 * @param end the layer after the last one
 */
public record LayerRange(int first, int end) {

	/**
	 * Creates a range.
	 * @param first the first layer, 0 or more
	 * @param end the layer after the last one, more than {@code first}
	 * @throws IllegalArgumentException if the range is empty or starts below 0
	 */
	public LayerRange {
		if (first < 0 || end <= first) {
			throw new IllegalArgumentException("layers " + first + " to " + end + " are not a range");
		}
	}

	/**
	 * Returns the number of layers.
	 * @return the number, 1 or more
	 */
	public int size() {
		return this.end - this.first;
	}

	/**
	 * Returns whether this range holds every layer of another.
	 * @param other the other range, not null
	 * @return true if it does
	 */
	public boolean contains(LayerRange other) {
		return this.first <= other.first && other.end <= this.end;
	}

	/**
	 * Returns whether this range holds a layer.
	 * @param layer the layer
	 * @return true if it does
	 */
	public boolean contains(int layer) {
		return this.first <= layer && layer < this.end;
	}

	@Override
	public String toString() {
		return "[" + this.first + ", " + this.end + ")";
	}

}
