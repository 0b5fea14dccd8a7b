/** Sets the request headers of an attempt, which the entry node sends to the sidecar. */
import {type Route} from '@ebonylead/rules/route-table.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';

/** Values that the headers of an attempt are set to. */
export type AttemptHeaderValues = {
	readonly route: Route;
	readonly service: string;

	/** Name of the caller, for fair queueing between callers. */
	readonly caller: string;

	/** Identifies the attempt. */
	readonly id: string;

	/** Number of the attempt, from 1; a call that is made on behalf of a retry starts with the number of that retry. */
	readonly attempt: number;

	/** What this node knows of crashes at which an equal request was in flight, encoded; undefined if that is nothing. */
	readonly crashes: string | undefined;

	/** Digest of all crashes that this node knows of; empty if it knows of none. */
	readonly crashDigest: string;

	/** What this node knows of the upstream from its responses, encoded; undefined if that is nothing. */
	readonly notice: string | undefined;

	/** Stamp of the time at which the attempt is sent. */
	readonly sent: string;

	/** Remaining time of the deadline in milliseconds. */
	readonly timeLeft: number;

	/** Name of the organisation whose call it is; undefined if it has none. */
	readonly organisation: string | undefined;

	/** Priority of the call; undefined for the lowest. */
	readonly priority: number | undefined;

	/** Remaining time of the latency objective in milliseconds; undefined if the rule has none. */
	readonly objectiveLeft: number | undefined;

	/** Origin at which the entry node receives calls from other nodes; undefined if nodes don't exchange versions on calls. */
	readonly origin: string | undefined;

	/** Whether the rest of the body is sent only when the sidecar asks for it. */
	readonly isRestHeldBack: boolean;

	/** Number of the active version at the entry node. */
	readonly version: number;
};

/** Sets the headers of an attempt. Default values are left out, because each header costs time on both nodes. */
export function setAttemptHeaders(headers: Record<string, string | string[]>, values: AttemptHeaderValues): void {
	const {rule, key} = values.route;
	headers[meshHeaders.service] = values.service;
	headers[meshHeaders.caller] = values.caller;
	headers[meshHeaders.route] = key;
	headers[meshHeaders.attemptId] = values.id;
	headers[meshHeaders.deadline] = String(floorDuration(values.timeLeft));
	headers[meshHeaders.sent] = values.sent;
	if (values.objectiveLeft !== undefined) {
		headers[meshHeaders.objective] = String(floorDuration(values.objectiveLeft));
	}

	if (values.organisation !== undefined) {
		headers[meshHeaders.organisation] = values.organisation;
	}

	if (values.priority !== undefined) {
		headers[meshHeaders.priority] = String(values.priority);
	}

	if (values.attempt > 1) {
		headers[meshHeaders.attempt] = String(values.attempt);
	}

	if (values.crashes !== undefined) {
		headers[meshHeaders.crashes] = values.crashes;
	}

	if (values.crashDigest !== '') {
		headers[meshHeaders.crashDigest] = values.crashDigest;
	}

	if (values.notice !== undefined) {
		headers[meshHeaders.notice] = values.notice;
	}

	if (values.origin !== undefined) {
		headers[meshHeaders.origin] = values.origin;
		headers[meshHeaders.version] = String(values.version);
	}

	if (values.isRestHeldBack) {
		headers[meshHeaders.restHeldBack] = '1';
	}

	if (rule.slots !== undefined) {
		headers[meshHeaders.routeSlots] = String(rule.slots);
	}
}

/** Rounds a duration down to whole milliseconds, at least 1: the sidecar refuses a call whose remaining time is too short by its own estimate. */
export function floorDuration(duration: number): number {
	return Math.max(1, Math.floor(duration));
}
