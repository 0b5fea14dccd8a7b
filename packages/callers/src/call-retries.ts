/** The attempts of one call after its first one: whether there is a further one, and what prevented it. */
import {type Route} from '@ebonylead/rules/route-table.js';
import {type AttemptCounts} from './attempt-counts.js';
import {type CallMetrics} from './call-metrics.js';
import {type RetryBudget} from './retry-budget.js';
import {findRetryObstacle, retryObstacles, type RetryObstacle} from './retry-limits.js';

/** Dependencies of `CallRetries`. */
export type CallRetriesDependencies = {
	readonly metrics: CallMetrics;
	readonly retryBudget: RetryBudget;
};

/** The call. */
export type RetriedCall = {
	readonly service: string;
	readonly route: Route;

	/** Number of the attempt on behalf of which the call was made; 1 if that was no retry. */
	readonly inheritedAttempt: number;
	readonly counts: AttemptCounts;

	/** Whether an upstream has probably made the call while it processes another one. */
	readonly isNested: boolean;
};

/** State of the call that changes between its attempts. */
export type RetryState = {
	readonly isCancelled: boolean;

	/** Whether the body can be sent again. */
	readonly hasBody: boolean;

	/** Milliseconds left until the deadline. */
	readonly timeLeft: number;
};

/** Counts the attempts of one call, and decides on further ones. */
export class CallRetries {
	readonly #dependencies: CallRetriesDependencies;
	readonly #call: RetriedCall;
	#attempts = 1;
	#obstacle: RetryObstacle | undefined;

	constructor(dependencies: CallRetriesDependencies, call: RetriedCall) {
		this.#dependencies = dependencies;
		this.#call = call;
	}

	/** What prevented the last retry that was wanted; undefined if none was prevented. */
	get obstacle(): RetryObstacle | undefined {
		return this.#obstacle;
	}

	/** Returns whether the call may be sent to another node, apart from the retry budget. */
	canRetry({isCancelled, hasBody, timeLeft}: RetryState): boolean {
		const {route, counts} = this.#call;
		if (isCancelled) {
			this.#obstacle = retryObstacles.cancelled;
		} else if (hasBody) {
			this.#obstacle = findRetryObstacle(route, {attempts: this.#attempts, possibleRuns: counts.possibleRuns, timeLeft});
		} else {
			this.#obstacle = retryObstacles.body;
		}

		return this.#obstacle === undefined;
	}

	/** Counts a further attempt, and returns its number for the upstream. */
	addAttempt(): number {
		this.#attempts++;
		return this.#call.inheritedAttempt + this.#attempts - 1;
	}

	/**
	 * Draws a retry on the budget, and returns whether it may be made. Only a call that an upstream received draws on it, as a refusal by a node puts no load on an
	 * upstream. A call that was made on behalf of a retry is not retried after that, so that retries don't multiply down a chain of services.
	 */
	admit(): boolean {
		const {metrics, retryBudget} = this.#dependencies;
		const {service, inheritedAttempt, counts, isNested} = this.#call;
		const isAdmitted = counts.reachedUpstreams === 0 || (inheritedAttempt === 1 && retryBudget.admitRetry(service, isNested));
		if (isAdmitted) {
			metrics.recordRetry(service);
		} else {
			this.#obstacle = retryObstacles.budget;
		}

		return isAdmitted;
	}
}
