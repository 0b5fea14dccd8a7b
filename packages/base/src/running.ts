/** Helpers for tasks that run until they are told to stop. */
import {type Clock} from './base.js';
import {describeError} from './errors.js';
import {type Logger} from './logs.js';

/** What `runPeriodically` needs. */
export type PeriodicTask = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly signal: AbortSignal;

	/** Returns the time in milliseconds to the next run. */
	readonly pickDelay: () => number;

	/** Does the work of one run; an error is logged and the task goes on. */
	readonly run: () => Promise<void>;

	/** Names the task in the log. */
	readonly name: string;
};

/** Runs a task again and again until the signal is aborted. */
export async function runPeriodically(task: PeriodicTask): Promise<void> {
	while (!task.signal.aborted) {
		await task.clock.sleep(task.pickDelay(), task.signal);
		if (task.signal.aborted) {
			return;
		}

		try {
			await task.run();
		} catch (error) {
			task.log.warn(`${task.name} failed: ${describeError(error)}`);
		}
	}
}
