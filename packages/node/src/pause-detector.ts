/** Detects that this process was paused, for example by a suspended VM. */
import {type Clock} from '@ebonylead/base/base.js';

const checkIntervalMs = 500;

/** Maximum time between two checks that does not count as a pause. */
export const pauseThresholdMs = 2000;

/** Measures the monotonic time between regular checks; a gap that is too long shows that the process was paused. */
export class PauseDetector {
	readonly #clock: Clock;
	readonly #onPause: (gap: number) => void;
	#lastCheckAt: number;

	constructor(clock: Clock, onPause: (gap: number) => void) {
		this.#clock = clock;
		this.#onPause = onPause;
		this.#lastCheckAt = clock.now();
	}

	/** Checks now. Called regularly, and before decisions that must not use state from before a pause. */
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
