/**
 * The headers and refusals that entry nodes and sidecars exchange, and the
 * announcement of an upstream to its sidecar.
 */

/** Headers between nodes, and from nodes to callers. All but the request id start with `x-ebonylead-`. */
export const meshHeaders = {
	/** Milliseconds left until the deadline of the call. */
	deadline: 'x-ebonylead-deadline',

	/** When the attempt was sent, by the clock of its entry node. */
	sent: 'x-ebonylead-sent',

	/** Milliseconds that an attempt spent on its way, on its refusal for that reason. */
	transit: 'x-ebonylead-transit',

	/** Number of the attempt, from 1; a call that an upstream makes while it handles a retry carries the number of the retry. */
	attempt: 'x-ebonylead-attempt',

	/** Identifies one attempt of an entry node at one sidecar. */
	attemptId: 'x-ebonylead-attempt-id',

	/** Identifies a call in the logs of all nodes and upstreams that it passes. */
	requestId: 'x-request-id',

	/** Name of the caller, for fair queueing between callers. */
	caller: 'x-ebonylead-caller',

	/** Name of the organisation whose key the request had; absent on public routes, and where there are no organisations. */
	organisation: 'x-ebonylead-organisation',

	/** Milliseconds left until the latency objective of the call. */
	objective: 'x-ebonylead-objective',

	/** Priority of the call when capacity is short; 0 is the highest. */
	priority: 'x-ebonylead-priority',

	/** Service that the call is for; the sidecar of an upstream of another service refuses it. */
	service: 'x-ebonylead-service',

	/** `1` on a refusal by the upstream itself, so that the call has reached it. */
	arrived: 'x-ebonylead-arrived',

	/** One of `capacityLimits` on a refusal for lack of capacity. */
	full: 'x-ebonylead-full',

	/** `1` on a refusal for lack of slots where late calls get none either. */
	contended: 'x-ebonylead-contended',

	/** Key of the matching rule. */
	route: 'x-ebonylead-route',

	/** Maximum number of concurrent calls of the route on the upstream. */
	routeSlots: 'x-ebonylead-route-slots',

	/** `not-run` or `unknown`, on refusals by ebonylead. */
	outcome: 'x-ebonylead-outcome',

	/** Why ebonylead refused the call, as text. */
	reason: 'x-ebonylead-reason',

	/** Milliseconds after which a refused call may be retried. */
	retryAfter: 'x-ebonylead-retry-after-ms',

	/** Running and queued calls per slot of the upstream. */
	load: 'x-ebonylead-load',

	/** Share of the requests that the upstream accepts, between 0 and 1; absent if it refuses hardly any. */
	acceptance: 'x-ebonylead-acceptance',

	/** Learnt capacity of the upstream: its limit of calls at the same time, and the mean service time of the call's route in milliseconds. */
	capacity: 'x-ebonylead-capacity',

	/** What the sender knows of the crashes at which an equal request was in flight. */
	crashes: 'x-ebonylead-crashes',

	/** Digest of all crashes that the sender knows of; absent if it knows of none. */
	crashDigest: 'x-ebonylead-crash-digest',

	/** What the upstream says of itself, on responses of its sidecar; what the entry node knows of it, on attempts. */
	notice: 'x-ebonylead-notice',

	/** Set by an upstream: the requests per second that it takes from all nodes together, as a decimal number. */
	rateLimit: 'x-ebonylead-rate-limit',

	/** Set by an upstream: `1` if it is about to end and must get no more calls. */
	leaving: 'x-ebonylead-leaving',

	/** `1` on a call whose large body follows only after an interim response, by which the sidecar tells that the call has a slot. */
	restHeldBack: 'x-ebonylead-rest-held-back',

	/** Version of the rules that were applied to the call; between nodes, the active version of the sender. */
	version: 'x-ebonylead-version',

	/** Address at which the sending node listens for calls of other nodes, such as `http://10.0.0.1:8300`. */
	origin: 'x-ebonylead-origin',
} as const;

/** Priority of calls whose rule sets none; the lowest. */
export const defaultPriority = 9;

/** Prefix of all headers that only nodes may set. */
export const meshHeaderPrefix = 'x-ebonylead-';

/** Whether a call that ebonylead refused may have been executed. */
export const outcomes = {
	/** The call did not run: no byte of it reached an upstream, or the upstream responded that it did not execute it. */
	notRun: 'not-run',

	/** The call may have been executed. */
	unknown: 'unknown',
} as const;

/** One of `outcomes`. */
export type Outcome = typeof outcomes[keyof typeof outcomes];

/** Why a node refuses a call, as a metric label; the `reason` of a refusal is the text for people. */
export const refusalCauses = {
	/** No slot is expected to become free before the deadline. */
	deadline: 'deadline',

	/** The deadline came too close while the call was queued. */
	deadlineNear: 'deadline-near',

	/** No slot is expected to become free in time for the objective. */
	objective: 'objective',

	/** The queue is full, and among its calls of the lowest priority this one was the oldest of the caller that has the most. */
	queueFull: 'queue-full',

	/** The limit that the upstream named allows the call neither before its deadline nor, behind others, in time for its objective. */
	rateLimit: 'rate-limit',

	/** The upstream is draining or absent. */
	leaving: 'leaving',

	/** The local upstream serves another service. */
	otherService: 'other-service',

	/** Upstreams crashed while an equal request was in flight. */
	quarantined: 'quarantined',

	/** A response to another call arrived in place of the one to this call, which may have run. */
	foreignResponse: 'foreign-response',

	/** The upstream responded that it did not execute the call. */
	upstream: 'upstream',

	/** The call could not be sent to the upstream. */
	unreachable: 'unreachable',

	/** The upstream sent no complete response. */
	unanswered: 'unanswered',

	/** The caller disconnected, or the deadline of the call passed. */
	cancelled: 'cancelled',
} as const;

/** One of `refusalCauses`. */
export type RefusalCause = typeof refusalCauses[keyof typeof refusalCauses];

/** What an upstream lacks if it is full: values of the header `full`. */
export const capacityLimits = {
	/** Slots. */
	slots: '1',

	/** Requests of the limit that it named. */
	rate: 'rate',
} as const;

/** One of `capacityLimits`. */
export type CapacityLimit = typeof capacityLimits[keyof typeof capacityLimits];

/** A refusal by a sidecar, with its cause for the metrics. */
export type SidecarRefusal = Refusal & {readonly cause: RefusalCause};

/** A response of ebonylead itself in place of the upstream's. */
export type Refusal = {
	readonly status: number;
	readonly outcome: Outcome;
	readonly reason: string;

	/** Milliseconds after which the caller may retry. */
	readonly retryAfter?: number;

	/** Whether the call reached an upstream, which refused it. */
	readonly hasReachedUpstream?: boolean;

	/** What the upstream is expected to lack for the call in time; undefined if it is not full. */
	readonly lacking?: CapacityLimit;

	/** Whether the upstream refuses calls that can only be late, as calls in time lack slots. */
	readonly isContended?: boolean;
};

/** Announcement of an upstream to its sidecar. */
export type UpstreamAnnouncement = {
	readonly service: string;

	/** Address such as `http://127.0.0.1:9000`. */
	readonly url: string;

	/** Maximum number of concurrent calls. */
	readonly slots: number;

	/** Maximum number of concurrent connections. */
	readonly connections: number;
	readonly state: 'ready' | 'draining';

	/** Identity of the upstream process; undefined if it has none. */
	readonly instance?: string;

	/** Start time of the upstream process in milliseconds since the Unix epoch; undefined if it announced none. */
	readonly startedAt?: number;

	/** Milliseconds left of the warm-up after its start, in which the upstream is slower. */
	readonly warmupLeft?: number;

	/** Version of the upstream's program; undefined if it named none, or if the deployment has no roll-outs. */
	readonly version?: string;
};
