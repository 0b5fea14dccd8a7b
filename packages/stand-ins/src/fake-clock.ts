/** Virtual time for tests. */
import {type Clock} from '@ebonylead/base/base.js';

type Sleeper = {
	readonly wakeAt: number;
	readonly wake: () => void;
};

/** Rounds of the event loop that follow each step, so that woken tasks run on. */
const eventLoopTurns = 20;
const initialWallTimeMs = 1_800_000_000_000;

/** A clock that moves only when it is told to. */
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

	/** Moves time on, and wakes each sleeper at its time. */
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

	/** Moves time on without waking anybody, as when the process was paused. */
	jump(duration: number): void {
		this.#now += duration;
	}
}

/** Lets the tasks that can run do so. */
export async function runPendingTasks(): Promise<void> {
	for (let round = 0; round < eventLoopTurns; round++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}
