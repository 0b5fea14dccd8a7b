/** Logs decisions on calls, with a limit on the number of lines per second. */
import {type Clock} from './base.js';
import {EventSummaries} from './event-summaries.js';
import {type Logger} from './logs.js';

/** Maximum number of lines per window. At twice its capacity, a node of a fleet refuses a few dozen calls per second. */
const maxLinesPerSecond = 50;

/** Length of the window in which lines are counted. */
const windowMs = 1000;

/** Writes one line for each decision. Lines above the limit are dropped; their number is written before the next line. */
export class DecisionLog {
	/** Summaries of the calls that no line of their own is written for. */
	readonly summaries: EventSummaries;
	readonly #log: Logger;
	readonly #clock: Clock;
	#windowStart = Number.NEGATIVE_INFINITY;
	#lines = 0;
	#dropped = 0;

	constructor(log: Logger, clock: Clock) {
		this.#log = log;
		this.#clock = clock;
		this.summaries = new EventSummaries(log, clock, 'Summarised calls');
	}

	/** Writes a line with the inputs of a decision, or drops it if the limit is reached. */
	record(inputs: Readonly<Record<string, unknown>>, message: string): void {
		const now = this.#clock.now();
		if (now - this.#windowStart >= windowMs) {
			this.#windowStart = now;
			this.#lines = 0;
		}

		if (this.#lines >= maxLinesPerSecond) {
			this.#dropped++;
			return;
		}

		this.#lines++;
		if (this.#dropped > 0) {
			this.#log.warn({dropped: this.#dropped}, 'Left out lines to keep the volume bounded');
			this.#dropped = 0;
		}

		this.#log.info(inputs, message);
	}
}
