/** Reads the refusals of sidecars. */
import {type ResponseHeaders} from '@ebonylead/upstreams/forward.js';
import {meshHeaders, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';

/** Reads a sidecar's refusal from the status and headers of a response; for an error status of the upstream itself it builds a refusal. */
export function readRefusal(status: number, headers: ResponseHeaders): Refusal {
	const outcome = headers[meshHeaders.outcome] === outcomes.notRun ? outcomes.notRun : outcomes.unknown;
	const retryAfter = Number(headers[meshHeaders.retryAfter]);
	return {
		status,
		outcome,
		hasReachedUpstream: headers[meshHeaders.arrived] !== undefined,
		isUpstreamFull: headers[meshHeaders.full] !== undefined,
		reason: String(headers[meshHeaders.reason] ?? `the upstream answered with status ${status}`),
		retryAfter: retryAfter > 0 ? retryAfter : undefined,
	};
}
