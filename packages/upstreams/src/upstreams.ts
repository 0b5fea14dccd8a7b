/**
 * What the two hops of a call say to each other, and what an upstream
 * announces to the node beside it.
 */

/** Headers between nodes, and from nodes to callers. All start with `x-ebonylead-`. */
export const meshHeaders = {
	/** Milliseconds that are left of the call's deadline. */
	deadline: 'x-ebonylead-deadline',

	/** Count of the try, from 1; a call below a retried one carries the same count. */
	attempt: 'x-ebonylead-attempt',

	/** Identifies a call in logs, from the first node to the last upstream. */
	requestId: 'x-request-id',

	/** Who calls, for the fairness between callers. */
	caller: 'x-ebonylead-caller',

	/** Milliseconds that are left of the time in which an answer is worth most. */
	objective: 'x-ebonylead-objective',

	/** Rank of the call when room is short; 0 goes first. */
	priority: 'x-ebonylead-priority',

	/** Service that the call is for; a node beside an upstream of another service refuses it. */
	service: 'x-ebonylead-service',

	/** `1` on a refusal that comes from the upstream itself, so that the call arrived there. */
	arrived: 'x-ebonylead-arrived',

	/** `1` on a refusal for want of room. */
	full: 'x-ebonylead-full',

	/** Key of the rule that matched. */
	route: 'x-ebonylead-route',

	/** Most calls of the route at once on the upstream. */
	routeSlots: 'x-ebonylead-route-slots',

	/** `not-run` or `unknown`, on answers that ebonylead itself makes. */
	outcome: 'x-ebonylead-outcome',

	/** Why ebonylead made the answer itself. */
	reason: 'x-ebonylead-reason',

	/** Milliseconds after which a refused call may come again. */
	retryAfter: 'x-ebonylead-retry-after-ms',

	/** Calls in flight and waiting at the upstream, for each of its slots. */
	load: 'x-ebonylead-load',

	/** Upstreams that died while the call was in flight. */
	suspect: 'x-ebonylead-suspect',

	/** Version of the rules that the call ran under; between nodes, the version in force at the sender. */
	version: 'x-ebonylead-version',

	/** Where the sending node takes calls of others, such as `http://10.0.0.1:8300`. */
	origin: 'x-ebonylead-origin',
} as const;

/** Rank of calls whose rule sets none. */
export const defaultPriority = 9;

/** Prefix of all headers that only nodes may set. */
export const meshHeaderPrefix = 'x-ebonylead-';

/** What ebonylead says about a call that it answers itself. */
export const outcomes = {
	/** The call did not run: no byte of it reached an upstream. */
	notRun: 'not-run',

	/** The call may have run. */
	unknown: 'unknown',
} as const;

/** One of the outcomes. */
export type Outcome = typeof outcomes[keyof typeof outcomes];

/** Why a node refuses a call, for the metrics; the reason says it in words. */
export const refusalCauses = {
	/** No slot comes free before the deadline. */
	deadline: 'deadline',

	/** The deadline came too close while the call waited. */
	deadlineNear: 'deadline-near',

	/** No slot comes free in time for the objective. */
	objective: 'objective',

	/** More urgent calls fill the queue. */
	queueFull: 'queue-full',

	/** The upstream is leaving. */
	leaving: 'leaving',

	/** The upstream beside the node is of another service. */
	otherService: 'other-service',

	/** Upstreams died while such a call was in flight. */
	quarantined: 'quarantined',

	/** The upstream did not run the call. */
	upstream: 'upstream',

	/** The upstream takes no connection. */
	unreachable: 'unreachable',

	/** The upstream gave no whole answer. */
	unanswered: 'unanswered',

	/** The caller left, or its deadline passed. */
	cancelled: 'cancelled',
} as const;

/** One of the causes. */
export type RefusalCause = typeof refusalCauses[keyof typeof refusalCauses];

/** A refusal of the node beside an upstream. */
export type NodeRefusal = Refusal & {readonly cause: RefusalCause};

/** An answer that ebonylead makes itself. */
export type Refusal = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly reason: string;

	/** Milliseconds after which the caller may come again. */
	readonly retryAfter?: number;

	/** Whether the call arrived at an upstream, which refused it. */
	readonly hasArrived?: boolean;

	/** Whether there was no room for the call. */
	readonly isFull?: boolean;
};

/** What an upstream announces. */
export type UpstreamAnnouncement = {
	readonly service: string;

	/** Address such as `http://127.0.0.1:9000`. */
	readonly url: string;

	/** Most calls at once. */
	readonly slots: number;

	/** Most connections at once. */
	readonly connections: number;
	readonly state: 'ready' | 'draining';

	/** Identity of the upstream process; undefined where it has none. */
	readonly instance?: string;

	/** Milliseconds for which the upstream stays slow after its start. */
	readonly warmupLeft?: number;
};
