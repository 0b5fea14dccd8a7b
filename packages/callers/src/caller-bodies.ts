/** Reads the bodies of callers' requests before their calls are sent to an upstream. */
import {type IncomingMessage} from 'node:http';
import {type Clock} from '@ebonylead/base/base.js';
import {BodyTooLargeError, watchBodySize} from '@ebonylead/upstreams/body-size.js';
import {type Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {LargeBody} from '@ebonylead/upstreams/large-body.js';
import {ReadAheadBudget} from '@ebonylead/upstreams/read-ahead-budget.js';
import {readBodyOrCancel, type RequestBody} from '@ebonylead/upstreams/request-body.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';

/**
 * A call is sent before its body is whole if the rest is expected within this
 * time in milliseconds, so that a fast sender doesn't wait for the end of its
 * body. A slot may be held for about as long while the body arrives.
 */
const maxRestTimeMs = 250;

/** Time in milliseconds over which a sender is observed at least. What its connection had buffered arrives at once and says nothing about its speed. */
const minObservationMs = 50;

const statusTooLarge = 413;
const statusTimeout = 504;

/** Reads the bodies of all callers of a node, with a common budget for what is read ahead. */
export class CallerBodies {
	readonly #clock: Clock;
	readonly #budget: ReadAheadBudget;
	#maxBytes = Number.POSITIVE_INFINITY;

	constructor(clock: Clock, budget = new ReadAheadBudget()) {
		this.#clock = clock;
		this.#budget = budget;
	}

	/** Sets the maximum size of a body. */
	setMaxBytes(maxBytes: number): void {
		this.#maxBytes = maxBytes;
	}

	/**
	 * Reads a small body, or so much of a large one that an upstream does not have
	 * to wait for its sender, within the budget. Cancels the call if its body does
	 * not come, or exceeds the maximum size at any later time.
	 */
	async read(request: IncomingMessage, cancellation: Cancellation): Promise<RequestBody> {
		if (request.headers['transfer-encoding'] !== undefined && this.#maxBytes !== Number.POSITIVE_INFINITY) {
			watchBodySize(request, this.#maxBytes, error => {
				cancellation.cancel(error);
			});
		}

		const startedAt = this.#clock.now();
		const body = await readBodyOrCancel(request, cancellation);
		if (body instanceof LargeBody) {
			await this.#waitForRest(body, cancellation, startedAt);
		}

		return body;
	}

	/** Reads ahead until the rest of a large body is expected soon, the budget is spent, or the call is cancelled. */
	async #waitForRest(body: LargeBody, cancellation: Cancellation, startedAt: number): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				clearTimeout(timer);
				cancellation.removeListener(finish);
				resolve();
			};

			const handleProgress = () => {
				if (this.#budget.isSpent || isRestExpected(body, this.#clock.now() - startedAt)) {
					finish();
				}
			};

			const timer = setTimeout(handleProgress, minObservationMs);
			cancellation.addListener(finish);
			body.readAhead(this.#budget, handleProgress);
			handleProgress();
		});
	}
}

/** Returns whether the rest of a body is expected to arrive soon, at the mean speed of what has arrived within a time in milliseconds. */
export function isRestExpected({isWhole, length, bytesRead}: Pick<LargeBody, 'isWhole' | 'length' | 'bytesRead'>, elapsed: number): boolean {
	if (isWhole) {
		return true;
	}

	return length !== undefined && elapsed >= minObservationMs && (length - bytesRead) * elapsed <= bytesRead * maxRestTimeMs;
}

/** Builds the refusal of a call whose body was not read, by the reason why it was cancelled. */
export function buildBodyRefusal(reason: Error | undefined): Refusal {
	return reason instanceof BodyTooLargeError
		? {status: statusTooLarge, outcome: outcomes.notRun, reason: reason.message}
		: {status: statusTimeout, outcome: outcomes.notRun, reason: 'the body did not come whole before the deadline'};
}

/** Returns the status with which a cancelled call ends that an upstream may have run. */
export function findCancelStatus(reason: Error | undefined): number {
	return reason instanceof BodyTooLargeError ? statusTooLarge : statusTimeout;
}
