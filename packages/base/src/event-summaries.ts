/** Summarises frequent events in the log: one line for each key and window, in place of one for each event. */
import {type Clock} from './base.js';
import {type Logger} from './logs.js';

/** Length of a window in milliseconds. */
const windowMs = 2000;

/** Maximum number of keys in a window; the events of all others are summarised together. */
const maxKeys = 32;
const otherKey = 'other';

/** Events of one key in the current window. */
type Summary = {
	readonly outcomes: Record<string, number>;
	readonly sums: Map<string, {total: number; count: number}>;
};

/**
 * Counts events by key and outcome, and averages their durations.
 *
 * The lines of a window are written with the first event after its end, so that no
 * timer runs. The last window before the events stop is not written.
 */
export class EventSummaries {
	readonly #log: Logger;
	readonly #clock: Clock;
	readonly #message: string;
	#summaries = new Map<string, Summary>();
	#windowStart: number;

	/** @param message Message of each line; its fields are `key`, `window`, `outcomes` and `means`, the durations in milliseconds. */
	constructor(log: Logger, clock: Clock, message: string) {
		this.#log = log;
		this.#clock = clock;
		this.#message = message;
		this.#windowStart = clock.now();
	}

	/** Adds an event, with durations in milliseconds by name. */
	record(key: string, outcome: string, durations: Readonly<Record<string, number>>): void {
		const now = this.#clock.now();
		if (now - this.#windowStart >= windowMs) {
			this.#writeAll(now);
		}

		const {outcomes, sums} = this.#getSummary(key);
		outcomes[outcome] = (outcomes[outcome] ?? 0) + 1;
		for (const [name, duration] of Object.entries(durations)) {
			const sum = sums.get(name);
			if (sum === undefined) {
				sums.set(name, {total: duration, count: 1});
			} else {
				sum.total += duration;
				sum.count++;
			}
		}
	}

	#getSummary(key: string): Summary {
		const usedKey = this.#summaries.has(key) || this.#summaries.size < maxKeys ? key : otherKey;
		let summary = this.#summaries.get(usedKey);
		if (summary === undefined) {
			summary = {outcomes: {}, sums: new Map()};
			this.#summaries.set(usedKey, summary);
		}

		return summary;
	}

	#writeAll(now: number): void {
		const window = Math.round(now - this.#windowStart);
		for (const [key, {outcomes, sums}] of this.#summaries) {
			const means = Object.fromEntries(Array.from(sums, ([name, {total, count}]) => [name, Math.round(total / count)]));
			this.#log.info({
				key, window, outcomes, means,
			}, this.#message);
		}

		this.#summaries = new Map();
		this.#windowStart = now;
	}
}
