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

	/** Milliseconds from now until the next slot is free. */
	get nextFreeTime(): number {
		return Math.min(...this.#freeTimes);
	}

	/** Assigns a call with an expected duration in milliseconds to the slot that becomes free first. */
	add(duration: number): void {
		const first = this.#freeTimes.indexOf(this.nextFreeTime);
		this.#freeTimes[first]! += duration;
	}
}
