/** What a load for the emulator consists of, and what it results in. */
import {type LoadBalancing} from '@ebonylead/capacity/capacity.js';
import {type EmulatedOrganisation} from './emulated-organisations.js';

/** A service and its upstreams. */
export type EmulatedService = {
	readonly name: string;
	readonly slots: number;

	/** Speed of each upstream. A run takes the work of its call divided by the speed, besides the time of the calls that it makes. */
	readonly speeds: readonly number[];

	/** Requests per second that the upstreams name as their limits from `limitsFrom` on; `null` for none. */
	readonly limits?: ReadonlyArray<number | null>;

	/** Data centre of each upstream and its VM; `a` where not given. */
	readonly dataCentres?: readonly string[];

	/** Spells in which an upstream is slow at times, each upstream at other times. */
	readonly spells?: SlowSpells;

	/** Times at which upstreams are slow. */
	readonly slowdowns?: readonly Slowdown[];

	/** Times at which upstreams refuse requests. */
	readonly refusals?: readonly UpstreamRefusals[];

	/** Share of the slots from which on more runs at the same time only take longer, so that the throughput stays the same. */
	readonly contentionFrom?: number;

	/** Milliseconds after which each upstream is ready; 0 where not given. */
	readonly readyFrom?: readonly number[];
};

/** Random spells of slowness. */
export type SlowSpells = {
	/** Share of the time. */
	readonly share: number;

	/** Factor by which runs take longer. */
	readonly factor: number;

	/** Length of a spell in milliseconds. */
	readonly length: number;
};

/** A time during which upstreams are slow. */
export type Slowdown = {
	/** Indices of the upstreams; all if not given. */
	readonly upstreams?: readonly number[];
	readonly from: number;
	readonly to: number;

	/** Factor by which runs take longer. */
	readonly factor: number;
};

/** A time during which upstreams refuse a part of their requests at once, without running them, although they have free slots. */
export type UpstreamRefusals = {
	/** Indices of the upstreams. */
	readonly upstreams: readonly number[];
	readonly from: number;
	readonly to: number;

	/** Probability that a request is refused. */
	readonly share: number;
};

/** What all entry nodes together may send again after an upstream has refused it. */
export type EmulatedRetryBudget = {
	/** Retries for each call. */
	readonly ratio: number;

	/** Retries of all nodes together beyond that, divided evenly among them. */
	readonly slack: number;
};

/** Variation of the demand, out of phase between data centres. */
export type DemandWave = {
	/** Largest deviation as a share of the mean. */
	readonly amplitude: number;
	readonly period: number;
};

/** A class of calls to one service. */
export type CallClass = {
	readonly name: string;
	readonly service: string;

	/** Priority; calls of a lower rank are more urgent. */
	readonly rank: number;

	/** Mean number of calls that callers start per second; 0 for calls that only upstreams make. */
	readonly rate: number;

	/** Mean work in milliseconds; the work of a call is uniformly distributed between half of it and one and a half times it. */
	readonly work: number;

	/** Latency objective in milliseconds: a response within this time from the start of the call counts as in time, a later one is worth less to the caller. */
	readonly objective: number;

	/** Time budget in milliseconds of each sending of the call, which covers all its attempts. All sendings of a call together get twice this time. */
	readonly deadline: number;

	/** Maximum number of times that a caller sends a refused call again. */
	readonly returns: number;

	/** Names of the classes of calls that an upstream makes during a run, one after the other. */
	readonly calls: readonly string[];
};

/** Services, and the classes of calls to them; also the format of load files. */
export type EmulatedLoad = {
	readonly services: readonly EmulatedService[];
	readonly classes: readonly CallClass[];

	/** Organisations that the callers' calls are made for; the slots are divided among them unless `areSharesIgnored`, for comparison. */
	readonly organisations?: readonly EmulatedOrganisation[];
	readonly areSharesIgnored?: boolean;

	/** Milliseconds during which callers start calls. */
	readonly duration: number;

	/** Retry budget of the entry nodes; that of a node by default if undefined. */
	readonly retryBudget?: EmulatedRetryBudget;

	/** Milliseconds after which upstreams name their limits. */
	readonly limitsFrom?: number;

	/** Whether nodes ignore the limits, for comparison. */
	readonly areLimitsIgnored?: boolean;

	/** Whether each VM is an entry node that knows only the calls that it sent itself; otherwise one entry node sends all calls. */
	readonly isEntryAtEachVm?: boolean;

	/** Number of VMs in each data centre whose nodes callers send calls to; all if undefined. */
	readonly callerVms?: number;

	/** Whether these entry nodes prefer the upstream on their own VM, whose load they know. */
	readonly isLocalPreferred?: boolean;

	/** Variation of the calls that callers start; none if not given. */
	readonly wave?: DemandWave;

	/** Time in milliseconds from one node to another, with the processing at both, within a data centre; 1 if not given. */
	readonly hopLatency?: number;

	/** One-way latency in milliseconds between data centres; that of one data centre if not given. */
	readonly dataCentreLatency?: number;

	/** Order of the candidates at the entry nodes; by load if not given. */
	readonly loadBalancing?: LoadBalancing;

	/** Whether sidecars limit the runs to the learnt limit; otherwise they only report their service times. */
	readonly isLimitLearnt?: boolean;
};

/** Counts of the calls of a class by their result. */
export type CallClassResult = {
	/** Calls that callers started. Calls that upstreams make are counted only as runs. */
	started: number;

	/** Calls served within the latency objective. */
	inTime: number;

	/** Calls served after the latency objective. */
	late: number;

	/** Calls whose last sending was refused. */
	refused: number;

	/** Refused calls that waited in vain for over a quarter of their latency objective, in all sendings together. */
	refusedLate: number;

	/** Refused calls that had been sent again after a refusal. */
	refusedAgain: number;

	/** Calls whose run ended after the deadline, or made a call that was refused or failed. */
	failed: number;

	/** Runs whose work was lost because a call that they made was refused or failed. */
	wastedRuns: number;

	/** Runs at upstreams of calls of this class, whether callers or upstreams sent them. */
	runs: number;
};

/** What an upstream with a limit got. */
export type LimitUsage = {
	readonly upstream: string;

	/** Requests that its limit allows in four seconds. */
	readonly allowed: number;

	/** Requests in the worst four seconds, from the time on at which its first response named the limit. */
	readonly worst: number;

	/** Runs in all. */
	readonly runs: number;
};
