/** Detects that an upstream process goes on announcing itself. */
import {type Clock} from '@ebonylead/base/base.js';
import {announcementTimeoutMs} from '@ebonylead/upstreams/local-upstream.js';

/** Maximum time in milliseconds for which an announcement may be in transit. */
const maxTransitMs = 10_000;

/** Maximum interval in milliseconds between two announcements of a streak. */
const maxGapMs = announcementTimeoutMs;

/**
 * Measures for how long one upstream process has announced itself.
 *
 * A process that has left sends nothing more, but announcements from before may
 * arrive for as long as they are in transit. A pause of this process delays them
 * by less than the maximum gap, as a longer one starts the streak again. So a
 * streak that is longer than both is of a process that has not left.
 */
export class AnnouncementStreak {
	readonly #clock: Clock;
	#process = '';
	#startedAt = 0;
	#lastAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records an announcement that was accepted as newer than all before, by the key of its process. */
	record(process: string): void {
		const now = this.#clock.now();
		if (process !== this.#process || now - this.#lastAt > maxGapMs) {
			this.#process = process;
			this.#startedAt = now;
		}

		this.#lastAt = now;
	}

	/** Returns whether a process has announced itself for longer than announcements from before its leave can arrive. */
	isConclusive(process: string): boolean {
		return process === this.#process && this.#lastAt - this.#startedAt > maxTransitMs + maxGapMs;
	}
}
