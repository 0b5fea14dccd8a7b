/** How the upstream for an attempt is chosen among the candidates. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {type TargetStates} from './target-states.js';

/** The candidates for an attempt. */
export type RankedCandidates = {
	readonly all: readonly Member[];

	/** Those in the data centre that the rule prefers; the same array as `all` if it prefers none. */
	readonly preferred: readonly Member[];
};

/** The call that an upstream is chosen for. */
export type RankedCall = {
	readonly route: Route;

	/** Time in milliseconds since the caller's first attempt at the call. */
	readonly elapsed: number;

	/** Whether an upstream has probably made the call while it processes another one, which a refusal wastes. */
	readonly isNested: boolean;
};

/** By what an upstream was chosen; ages are in milliseconds, and infinite if nothing was reported. */
export type ChoiceInputs = {
	/** Service time relative to the other upstreams of the service. */
	readonly slowness: number;
	readonly slownessAge: number;

	/** Load in calls per slot, and the age of the report. */
	readonly load: number;
	readonly loadAge: number;

	/** Learnt limit; the announced slots if none was reported. */
	readonly limit: number;
};

/** Chooses one of the candidates; each implementation compares them by inputs of its own. */
export type CandidateRanking = {
	/** Estimates the load in calls per slot by which upstreams are compared. Where a ranking has no such estimate, calls are not kept on their VM. */
	readonly estimateLoad?: (member: Member, call: RankedCall) => number;

	/** Chooses the upstream for an attempt; returns undefined if there is no candidate. */
	choose(candidates: RankedCandidates, call: RankedCall): Member | undefined;

	/** Records the load in calls per slot that the sidecar of an upstream reported. */
	recordLoad(member: Member, load: number): void;

	/** Records what the sidecar reported of the capacity of its upstream on the response to a call of a route. */
	recordCapacity?(member: Member, route: string, header: string | string[] | undefined): void;

	/** Returns what is known of an upstream, for the log. */
	getInputs?(member: Member): ChoiceInputs;
};

/** What rankings are created from. */
export type RankingDependencies = {
	readonly states: TargetStates;
	readonly clock: Clock;
	readonly random: Random;
};

/** Creates the order of the candidates of one chooser. */
export type RankingFactory = (dependencies: RankingDependencies) => CandidateRanking;

/** Formats the inputs of a choice for the log. */
export function formatChoice({slowness, slownessAge, load, loadAge, limit}: ChoiceInputs): string {
	return `slowness ${slowness.toFixed(2)} (${formatAge(slownessAge)}), load ${load.toFixed(2)} (${formatAge(loadAge)}), limit ${limit}`;
}

function formatAge(age: number): string {
	return Number.isFinite(age) ? `${Math.round(age)} ms old` : 'none reported';
}
