/** Which responses of attempts reach the caller. */
import {type Route} from '@ebonylead/rules/route-table.js';
import {type ResponseHeaders} from '@ebonylead/upstreams/forward.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';
import {type CallerProtocol} from './caller-protocol.js';
import {isRetryableFailure, type CallProgress} from './retry-limits.js';

/** The response of one attempt. */
export type AttemptResponse = {readonly status: number; readonly headers: ResponseHeaders};

/**
 * Returns whether a response is forwarded to the caller.
 *
 * Refusals by sidecars and failures that may be retried are not. Nor is a
 * response of an upstream to a non-idempotent call with a status that callers
 * take for a promise that the call did not run: the upstream ran it, and the
 * caller would send it again.
 */
export function isForwardableResponse({status, headers}: AttemptResponse, route: Route, protocol: CallerProtocol, progress: Omit<CallProgress, 'attempts'>): boolean {
	return headers[meshHeaders.outcome] === undefined
		&& (route.rule.idempotent || !protocol.isNotRunStatus(status))
		&& !isRetryableFailure(route, status, progress);
}
