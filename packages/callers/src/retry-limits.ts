/** Decides whether a call may be sent again. */
import {type Route} from '@ebonylead/rules/route-table.js';

/** What has become of a call so far. */
export type CallProgress = {
	/** Attempts so far, refused ones included. */
	readonly attempts: number;

	/** Attempts that may have run, or that are in flight. */
	readonly possibleRuns: number;

	/** Milliseconds left until the deadline. */
	readonly timeLeft: number;
};

/** Maximum number of upstreams that may run one call, where its rule sets no `maxTries`. */
const defaultMaxRuns = 3;

/** Maximum number of attempts for one call, refused ones included: a refusal costs a node little. */
const maxAttempts = 3;

/** Minimum remaining time in milliseconds for a retry: two hops and the fastest responses take about that long. */
const minAttemptTimeMs = 10;

const retryableStatuses: ReadonlySet<number> = new Set([500, 502, 503, 504]);

/** Why a call is not sent to another node. */
export const retryObstacles = {
	/** Its caller left, or its deadline passed. */
	cancelled: 'cancelled',

	/** A large body can be sent only once. */
	body: 'body',
	time: 'time',

	/** It was sent as often as a call may be. */
	attempts: 'attempts',

	/** An attempt may have run, and the call may not run again. */
	runs: 'runs',

	/** The retry budget of this node is used up. */
	budget: 'budget',
} as const;

/** One of `retryObstacles`. */
export type RetryObstacle = typeof retryObstacles[keyof typeof retryObstacles];

/** Finds the reason why a call may not be sent to another node, apart from the retry budget: it may if no attempt may have run, or if it is idempotent and may run once more. */
export function findRetryObstacle({rule}: Route, {attempts, possibleRuns, timeLeft}: CallProgress): RetryObstacle | undefined {
	if (timeLeft < minAttemptTimeMs) {
		return retryObstacles.time;
	}

	if (attempts >= maxAttempts) {
		return retryObstacles.attempts;
	}

	return possibleRuns === 0 || (rule.idempotent && possibleRuns < (rule.maxTries ?? defaultMaxRuns)) ? undefined : retryObstacles.runs;
}

/** Returns whether a failure of an upstream is held back from the caller, as another upstream may run the call. The attempt that failed is one of the possible runs. */
export function isRetryableFailure({rule}: Route, status: number, {possibleRuns, timeLeft}: Omit<CallProgress, 'attempts'>): boolean {
	return rule.idempotent && retryableStatuses.has(status) && possibleRuns < (rule.maxTries ?? defaultMaxRuns) && timeLeft > minAttemptTimeMs;
}
