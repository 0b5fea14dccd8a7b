/** Tells whether calls that could be in time lack slots. */
import {type Clock} from '@ebonylead/base/base.js';

/**
 * Time in milliseconds for which calls that are expected to miss their objective get no slot after one was late only
 * because it had to wait. With such calls in the slots, those in time would be refused, and return late themselves.
 */
const contentionMs = 500;

/** Keeps when a call lacked a slot last, by priority: late calls give way to those of their own priority and above, and to no others. */
export class Contention {
	readonly #clock: Clock;
	readonly #times = new Map<number, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records that a call lacked a slot in time; lower numbers are higher priorities. */
	record(priority: number): void {
		this.#times.set(priority, this.#clock.now());
	}

	/** Returns whether calls of the priority or a higher one lacked slots lately. */
	isPresent(priority: number): boolean {
		const now = this.#clock.now();
		for (const [other, at] of this.#times) {
			if (other <= priority && now - at < contentionMs) {
				return true;
			}
		}

		return false;
	}
}
