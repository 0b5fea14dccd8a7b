/** Runs periodic tasks. */
import {type Clock} from './base.js';
import {describeError} from './errors.js';
import {type Logger} from './logs.js';

/** A task for `runPeriodically`, with its dependencies. */
export type PeriodicTask = {
	readonly clock: Clock;
	readonly log: Logger;
	readonly signal: AbortSignal;

	/** Chooses the interval before the next run, in milliseconds. */
	readonly chooseInterval: () => number;

	/** Runs the task once; an error is logged and does not prevent later runs. */
	readonly run: () => Promise<void>;

	/** The name of the task in the log. */
	readonly name: string;
};

/** Runs a task repeatedly until the signal is aborted; the first run also waits for an interval. */
export async function runPeriodicTask(task: PeriodicTask): Promise<void> {
	while (!task.signal.aborted) {
		await task.clock.sleep(task.chooseInterval(), task.signal);
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
