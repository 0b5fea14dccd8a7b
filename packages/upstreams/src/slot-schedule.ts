/** Predicts when the slots of an upstream become free. */

/** Assigns calls to slots one after the other, each to the slot that becomes free first. */
export class SlotSchedule {
	/** Times in milliseconds from now until each slot is free. */
	readonly #freeTimes: number[];

	/**
	 * @param slots Number of slots, at least 1.
	 * @param remainingTimes Milliseconds until each running call ends.
	 */
	constructor(slots: number, remainingTimes: readonly number[]) {
		const idleSlots = Array.from({length: Math.max(0, slots - remainingTimes.length)}, () => 0);
		// More calls run than there are slots after their number was reduced; the first to end free no slot.
		this.#freeTimes = [...idleSlots, ...remainingTimes.toSorted((left, right) => left - right).slice(-slots)];
	}

	/** Returns the milliseconds from now until a call can start: when a slot is free, or all of them for an exclusive call. */
	computeStart(isExclusive = false): number {
		return isExclusive ? Math.max(...this.#freeTimes) : Math.min(...this.#freeTimes);
	}

	/** Adds a call with an expected duration in milliseconds, which starts as soon as it can; nothing else runs beside an exclusive one. */
	add(duration: number, isExclusive = false): void {
		const start = this.computeStart(isExclusive);
		if (isExclusive) {
			this.#freeTimes.fill(start + duration);
		} else {
			this.#freeTimes[this.#freeTimes.indexOf(start)] = start + duration;
		}
	}
}
