/** Clock with virtual time for tests. */
import {type Clock} from '@ebonylead/base/base.js';

type Sleeper = {
	readonly wakeAt: number;
	readonly wake: () => void;
};

/** Turns of the event loop after each step of the clock, so that the tasks that it wakes run, and those that they make ready. */
const eventLoopTurns = 20;
const initialWallTimeMs = 1_800_000_000_000;

/** Clock whose time passes only by `advance` and `jump`. */
export class FakeClock implements Clock {
	#now = 0;
	#sleepers: Sleeper[] = [];

	now(): number {
		return this.#now;
	}

	wallTime(): number {
		return initialWallTimeMs + Math.floor(this.#now);
	}

	async sleep(duration: number, signal?: AbortSignal): Promise<void> {
		if (signal?.aborted) {
			return;
		}

		await new Promise<void>(resolve => {
			const wake = () => {
				signal?.removeEventListener('abort', wake);
				resolve();
			};

			this.#sleepers.push({wakeAt: this.#now + duration, wake});
			signal?.addEventListener('abort', wake);
		});
	}

	/** Advances the time by a duration in milliseconds, and wakes each sleeper at its time. */
	async advance(duration: number): Promise<void> {
		const end = this.#now + duration;
		for (;;) {
			await runPendingTasks();
			const next = this.#sleepers.toSorted((left, right) => left.wakeAt - right.wakeAt)[0];
			if (next === undefined || next.wakeAt > end) {
				break;
			}

			this.#sleepers = this.#sleepers.filter(sleeper => sleeper !== next);
			this.#now = Math.max(this.#now, next.wakeAt);
			next.wake();
		}

		this.#now = end;
		await runPendingTasks();
	}

	/** Advances the time without waking any sleeper, as after a pause of the process. */
	jump(duration: number): void {
		this.#now += duration;
	}
}

/** Runs the tasks that are ready, and those that they make ready. */
export async function runPendingTasks(): Promise<void> {
	for (let round = 0; round < eventLoopTurns; round++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
