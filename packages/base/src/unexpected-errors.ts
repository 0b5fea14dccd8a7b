/** Keeps a process running after errors that no other code handled. */
import process from 'node:process';
import {type Clock} from './base.js';
import {type Logger} from './logs.js';

/** Dependencies of `UnexpectedErrors`. */
export type UnexpectedErrorsDependencies = {
	readonly clock: Clock;
	readonly log: Logger;

	/** Called once when errors are so frequent that the process must be replaced. */
	readonly onTooMany: () => void;
};

/** Number of errors within the window from which on the process must be replaced. */
const maxErrors = 20;

/** Length of the window in which errors are counted, in milliseconds. */
const windowMs = 60_000;

/**
 * Logs errors that would end the process, which has other calls in flight: most
 * concern one connection or one message. A process in which they are frequent
 * ends gracefully.
 */
export class UnexpectedErrors {
	readonly #dependencies: UnexpectedErrorsDependencies;
	#times: number[] = [];
	#isReported = false;

	constructor(dependencies: UnexpectedErrorsDependencies) {
		this.#dependencies = dependencies;
	}

	/** Handles uncaught exceptions and unhandled rejections of the process from now on. */
	start(): void {
		process.on('uncaughtException', error => {
			this.record(error);
		});
		process.on('unhandledRejection', reason => {
			this.record(reason);
		});
	}

	/** Records an error. */
	record(error: unknown): void {
		const {clock, log, onTooMany} = this.#dependencies;
		const now = clock.now();
		this.#times = this.#times.filter(time => now - time < windowMs);
		this.#times.push(now);
		log.error({count: this.#times.length, stack: error instanceof Error ? error.stack : String(error)}, 'An unexpected error');
		if (this.#times.length > maxErrors && !this.#isReported) {
			this.#isReported = true;
			log.fatal({count: this.#times.length}, 'Too many unexpected errors; stopping');
			onTooMany();
		}
	}
}
