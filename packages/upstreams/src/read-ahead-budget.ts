/** Bounds the memory for bodies that are read before their calls have a slot. */

/** Bytes of large bodies that a node holds for all its calls together; a node has 128 MB for everything. */
const defaultBudgetBytes = 4 * 1024 * 1024;

/** The memory that may still be taken for bodies that are read ahead. */
export class ReadAheadBudget {
	#free: number;

	constructor(bytes = defaultBudgetBytes) {
		this.#free = bytes;
	}

	/** Whether no further part may be read. */
	get isSpent(): boolean {
		return this.#free <= 0;
	}

	/** Records memory in bytes that is held in addition; the last part that is read may exceed the budget. */
	recordHeld(bytes: number): void {
		this.#free -= bytes;
	}

	/** Records memory in bytes that is no longer held. */
	releaseHeld(bytes: number): void {
		this.#free += bytes;
	}
}
