/** Refusals by a sidecar of calls that had a slot. */
import {describeError} from '@ebonylead/base/errors.js';
import {outcomes, refusalCauses, type SidecarRefusal} from './upstreams.js';

const unreachableRetryAfterMs = 1000;

/** Retry delay after the upstream itself did not execute a call: an upstream that sheds calls beyond its slots has free capacity again soon. */
const shedRetryAfterMs = 200;
const statusBadGateway = 502;
const statusUnavailable = 503;
const statusTimeout = 504;

/** Builds the refusal of a call that the upstream responded not to have executed. */
export function buildShedRefusal(reason: string): SidecarRefusal {
	return {
		status: statusUnavailable, outcome: outcomes.notRun, cause: refusalCauses.upstream, reason, retryAfter: shedRetryAfterMs, hasReachedUpstream: true,
	};
}

/** Builds the refusal of a call of which no byte was sent to the upstream. */
export function buildUnreachableRefusal(error: Error): SidecarRefusal {
	return {
		status: statusUnavailable,
		outcome: outcomes.notRun,
		cause: refusalCauses.unreachable,
		reason: `the upstream can not be reached: ${describeError(error)}`,
		retryAfter: unreachableRetryAfterMs,
	};
}

/** Builds the refusal of a call that was cancelled while the upstream may have been executing it. */
export function buildCancelledRefusal(error: Error): SidecarRefusal {
	return {
		status: statusTimeout, outcome: outcomes.unknown, cause: refusalCauses.cancelled, reason: describeNoResponse(error),
	};
}

/**
 * Builds the refusal of a call that the upstream may have executed, and did not respond to.
 *
 * @param isResponseForeign Whether a response arrived, but belongs to another call.
 */
export function buildUnansweredRefusal(error: Error, isResponseForeign: boolean): SidecarRefusal {
	return {
		status: statusBadGateway,
		outcome: outcomes.unknown,
		cause: isResponseForeign ? refusalCauses.foreignResponse : refusalCauses.unanswered,
		reason: describeNoResponse(error),
	};
}

function describeNoResponse(error: Error): string {
	return `the upstream did not answer: ${describeError(error)}`;
}
