/** Refusals of sidecars, and those of this node where no sidecar can be asked. */
import {type Random} from '@ebonylead/base/base.js';
import {type ResponseHeaders} from '@ebonylead/upstreams/forward.js';
import {
	capacityLimits, meshHeaders, outcomes, type CapacityLimit, type Refusal,
} from '@ebonylead/upstreams/upstreams.js';

/** Retry delay in milliseconds of the refusals by this node. */
export const defaultRetryAfterMs = 200;

const statusBadRequest = 400;
const statusNotFound = 404;
const statusTooManyRequests = 429;
const statusBadGateway = 502;
const statusUnavailable = 503;

/** Builds the refusal of a call whose organisation has used its quota. The share is that of its calls that is admitted. */
export function buildQuotaRefusal(organisation: string, {share, retryAfter}: {readonly share: number; readonly retryAfter: number}): Refusal {
	return {
		status: statusTooManyRequests, outcome: outcomes.notRun, reason: `the quota of "${organisation}" is used; a share of ${share} of its requests is admitted`, retryAfter,
	};
}

/** Builds the refusal of a call whose target can't be read. */
export function buildBadRequestRefusal(reason: string): Refusal {
	return {status: statusBadRequest, outcome: outcomes.notRun, reason};
}

/** Builds the refusal of a call that no rule matches. */
export function buildNoRuleRefusal(reason: string): Refusal {
	return {status: statusNotFound, outcome: outcomes.notRun, reason};
}

/** Builds the refusal of a call that no upstream has run; the retry delay is in milliseconds. */
export function buildNotRunRefusal(reason: string, retryAfter?: number, hasReachedUpstream?: boolean): Refusal {
	return {
		status: statusUnavailable, outcome: outcomes.notRun, reason, retryAfter, hasReachedUpstream,
	};
}

/** Builds the refusal of a call to a service without a ready upstream. */
export function buildNoUpstreamRefusal(service: string): Refusal {
	return {
		status: statusUnavailable, outcome: outcomes.notRun, reason: `no upstream of "${service}" is ready`, retryAfter: defaultRetryAfterMs,
	};
}

/** Builds the refusal of a call whose upstream responded with an error status of its own. */
export function buildStatusRefusal(status: number): Refusal {
	return {
		status, outcome: outcomes.unknown, hasReachedUpstream: false, reason: `the upstream answered with status ${status}`,
	};
}

/** Reads a sidecar's refusal from the status and headers of a response; for an error status of the upstream itself it builds a refusal. */
export function readRefusal(status: number, headers: ResponseHeaders): Refusal {
	const outcome = headers[meshHeaders.outcome] === outcomes.notRun ? outcomes.notRun : outcomes.unknown;
	const retryAfter = Number(headers[meshHeaders.retryAfter]);
	return {
		status,
		outcome,
		hasReachedUpstream: headers[meshHeaders.arrived] !== undefined,
		lacking: readCapacityLimit(headers),
		isContended: headers[meshHeaders.contended] !== undefined,
		reason: String(headers[meshHeaders.reason] ?? `the upstream answered with status ${status}`),
		retryAfter: retryAfter > 0 ? retryAfter : undefined,
	};
}

/** Reads the share of its requests that an upstream accepts, as its sidecar reported it; 1 if it reported none. */
export function readAcceptance(headers: ResponseHeaders): number {
	const share = Number(headers[meshHeaders.acceptance] ?? 1);
	return share >= 0 && share < 1 ? share : 1;
}

/**
 * Builds the response in place of an upstream's. It says that the call did not run only if no attempt may have run, and so does the status 503. The retry delay is
 * random, so that callers that were refused together return apart.
 */
export function buildFinalRefusal(refusal: Refusal, mayHaveRun: boolean, random: Random): Refusal {
	const outcome = mayHaveRun ? outcomes.unknown : refusal.outcome;
	return {
		...refusal,
		outcome,
		status: outcome === outcomes.unknown && refusal.status === statusUnavailable ? statusBadGateway : refusal.status,
		retryAfter: refusal.retryAfter && refusal.retryAfter * (1 + random.next()),
	};
}

function readCapacityLimit(headers: ResponseHeaders): CapacityLimit | undefined {
	return Object.values(capacityLimits).find(value => value === headers[meshHeaders.full]);
}
