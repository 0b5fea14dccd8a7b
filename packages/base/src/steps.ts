/** Long computations as generators that stop after every few elements, so that other tasks can run in between. */
import {setImmediate} from 'node:timers/promises';
import {type Clock} from './base.js';

/** A computation in steps of well under a millisecond. */
export type Steps<T> = Generator<undefined, T, undefined>;

/** Elements that a computation handles in one step. */
export const elementsPerStep = 32;

/** Longest time that a computation runs without a turn for other tasks. A VM with a quarter of a core takes up to four times as long. */
export const maxSliceMs = 2;

/** Lets other tasks of the event loop run. */
export type TurnScheduler = {
	/** Returns monotonic time in milliseconds. */
	now(): number;

	/** Resolves when the events that were pending have been handled. */
	waitForTurn(): Promise<void>;
};

/** Turns of the event loop of Node. */
export class EventLoopScheduler implements TurnScheduler {
	readonly #clock: Clock;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	now(): number {
		return this.#clock.now();
	}

	async waitForTurn(): Promise<void> {
		await setImmediate();
	}
}

/** Runs all steps at once. */
export function runSteps<T>(steps: Steps<T>): T {
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}
	}
}

/** Runs steps in slices of at most `maxSliceMs` and one step, with a turn for other tasks between two slices. */
export async function runInSlices<T>(steps: Steps<T>, scheduler: TurnScheduler): Promise<T> {
	let startedAt = scheduler.now();
	for (;;) {
		const step = steps.next();
		if (step.done) {
			return step.value;
		}

		if (scheduler.now() - startedAt >= maxSliceMs) {
			await scheduler.waitForTurn();
			startedAt = scheduler.now();
		}
	}
}
