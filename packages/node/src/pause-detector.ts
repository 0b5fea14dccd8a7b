/** Detects that this process did not run for a while. */
import {type Clock} from '@ebonylead/base/base.js';

const checkIntervalMs = 500;

/** Longest gap between two checks that does not count as a pause. */
export const pauseThresholdMs = 2000;

/** Compares the monotonic times of regular checks; after a pause of the process there is a gap between two of them. */
export class PauseDetector {
	readonly #clock: Clock;
	readonly #onPause: (gap: number) => void;
	#lastCheckAt: number;

	constructor(clock: Clock, onPause: (gap: number) => void) {
		this.#clock = clock;
		this.#onPause = onPause;
		this.#lastCheckAt = clock.now();
	}

	/** Checks now; also called before a decision that a pause would make wrong. */
	check(): void {
		const now = this.#clock.now();
		const gap = now - this.#lastCheckAt;
		this.#lastCheckAt = now;
		if (gap > pauseThresholdMs) {
			this.#onPause(gap);
		}
	}

	/** Checks regularly until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		while (!signal.aborted) {
			await this.#clock.sleep(checkIntervalMs, signal);
			this.check();
		}
	}
}
