/** The deadline and the objective of an attempt, by the clock of the sidecar that received it. */
import {type IncomingMessage} from 'node:http';
import {type Clock} from '@ebonylead/base/base.js';
import {readHeader, readPositiveInteger} from './request-headers.js';
import {parseSendStamp} from './send-stamp.js';
import {type TransitDelays} from './transit-delays.js';
import {meshHeaders} from './upstreams.js';

/** Deadline of a call without a deadline header. */
const defaultDeadlineMs = 2000;

/** Times of an attempt in milliseconds, as its sender gave them. */
export type AttemptDurations = {
	/** Time that it had when it was sent. */
	readonly deadline: number;

	/** Time until its objective when it was sent; undefined if it has none. */
	readonly objective: number | undefined;

	/** Time that it spent on its way. */
	readonly transit: number;
};

/** Reads the times of an attempt from the headers of a request that has just arrived. */
export function decodeAttemptTimes(request: IncomingMessage, clock: Clock, transitDelays: TransitDelays): AttemptTimes {
	const stamp = parseSendStamp(readHeader(request, meshHeaders.sent));
	return new AttemptTimes(clock, {
		deadline: readPositiveInteger(request, meshHeaders.deadline) ?? defaultDeadlineMs,
		objective: readPositiveInteger(request, meshHeaders.objective),
		transit: stamp === undefined ? 0 : transitDelays.measure(stamp, clock.now()),
	});
}

/** The times of an attempt that has just arrived. Those that it has left count from when it was sent, so that they include the time that it spent on its way. */
export class AttemptTimes {
	/** Monotonic time in milliseconds at which this node read the attempt. */
	readonly receivedAt: number;

	/** Milliseconds that the attempt spent on its way. */
	readonly transit: number;

	/** Milliseconds that the attempt had when it was sent. */
	readonly deadline: number;
	readonly #objective: number | undefined;
	readonly #clock: Clock;

	constructor(clock: Clock, {deadline, objective, transit}: AttemptDurations) {
		this.#clock = clock;
		this.receivedAt = clock.now();
		this.deadline = deadline;
		this.#objective = objective;
		this.transit = transit;
	}

	/** Monotonic time in milliseconds by which the call must have ended. */
	get deadlineAt(): number {
		return this.receivedAt - this.transit + this.deadline;
	}

	/** Monotonic time in milliseconds by which the call should end to meet its objective; the deadline if it has none. */
	get objectiveAt(): number {
		return this.receivedAt - this.transit + (this.#objective ?? this.deadline);
	}

	/** Milliseconds until the deadline. */
	get timeLeft(): number {
		return this.deadlineAt - this.#clock.now();
	}

	/** Milliseconds since this node read the attempt. */
	get duration(): number {
		return this.#clock.now() - this.receivedAt;
	}
}
