/** The deadline and the objective of an attempt, by the clock of the sidecar that received it. */
import {type IncomingMessage} from 'node:http';
import {type Clock} from '@ebonylead/base/base.js';
import {readHeader, readPositiveInteger} from './request-headers.js';
import {parseSendStamp} from './send-stamp.js';
import {type TransitDelays} from './transit-delays.js';
import {meshHeaders} from './upstreams.js';

/** Deadline of a call without a deadline header. */
const defaultDeadlineMs = 2000;

/** Reads the times of an attempt from its headers. Those that it has left count from when it was sent, so that they include the time that it spent on its way. */
export class AttemptTimes {
	/** Monotonic time in milliseconds at which this node read the attempt. */
	readonly receivedAt: number;

	/** Milliseconds that the attempt spent on its way. */
	readonly transit: number;

	/** Milliseconds that the attempt had when it was sent. */
	readonly deadline: number;
	readonly #objective: number | undefined;
	readonly #clock: Clock;

	constructor(request: IncomingMessage, clock: Clock, transitDelays: TransitDelays) {
		this.#clock = clock;
		this.receivedAt = clock.now();
		this.deadline = readPositiveInteger(request, meshHeaders.deadline) ?? defaultDeadlineMs;
		this.#objective = readPositiveInteger(request, meshHeaders.objective);
		const stamp = parseSendStamp(readHeader(request, meshHeaders.sent));
		this.transit = stamp === undefined ? 0 : transitDelays.measure(stamp, this.receivedAt);
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
