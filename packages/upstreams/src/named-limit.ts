/** Determines the limit that an upstream names at present from responses that may arrive out of order. */

/**
 * The limit that an upstream process named.
 *
 * When a response arrives, it is only known that the upstream sent it after its
 * request. Where a response may be older than the one that named the present
 * limit, the lower of the two limits counts.
 */
export class NamedLimit {
	#rate: number | undefined;

	/** Monotonic time in milliseconds at which a response arrived that named the present limit or a lower one. */
	#namedAt = Number.NEGATIVE_INFINITY;

	/** Requests per second; undefined if there is no limit. */
	get rate(): number | undefined {
		return this.#rate;
	}

	/** Monotonic time in milliseconds at which the limit was named last. */
	get namedAt(): number {
		return this.#namedAt;
	}

	/**
	 * Records a response, and returns whether the limit changed.
	 *
	 * @param rate Limit that it names in requests per second; undefined if it names none.
	 * @param requestedAt Monotonic time in milliseconds at which its request was sent, or earlier.
	 * @param respondedAt Monotonic time in milliseconds at which it arrived, or later.
	 */
	record(rate: number | undefined, requestedAt: number, respondedAt: number): boolean {
		const before = this.#rate;
		const isLower = rate !== undefined && (before === undefined || rate <= before);
		if (!isLower && requestedAt < this.#namedAt) {
			return false;
		}

		this.#rate = rate;
		if (rate !== undefined) {
			this.#namedAt = Math.max(this.#namedAt, respondedAt);
		}

		return rate !== before;
	}
}
