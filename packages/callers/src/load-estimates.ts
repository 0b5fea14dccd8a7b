/** Estimates the present load of upstreams from what sidecars reported and from the attempts of this node. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type MeanLoads} from './mean-loads.js';
import {type TargetStates} from './target-states.js';

/** Half-life in milliseconds of a reported load: the older it is, the more the mean load of others counts in its place. */
const loadHalfLifeMs = 3000;

/** Maximum load in calls per slot that is recorded; sidecars that are closed report a far higher one. */
const maxReportedLoad = 5;

/** Duration in milliseconds of the slow start, in which the share of calls that a new upstream gets grows to its full size. */
const slowStartMs = 5000;

/** Share of calls at the beginning of the slow start. */
const minSlowStartShare = 0.1;

/** Estimates loads, in calls per slot. */
export class LoadEstimates {
	readonly #states: TargetStates;
	readonly #clock: Clock;

	readonly #meanLoads: MeanLoads;

	/** @param meanLoads What counts in place of a reported load that is too old. */
	constructor(states: TargetStates, clock: Clock, meanLoads: MeanLoads) {
		this.#states = states;
		this.#clock = clock;
		this.#meanLoads = meanLoads;
	}

	/** Records the load that the sidecar of an upstream reported. */
	record(member: Member, load: number): void {
		const state = this.#states.get(member);
		state.reportedLoad = Math.min(maxReportedLoad, load);
		state.reportedAt = this.#clock.now();
		this.#meanLoads.record(member, state.reportedLoad);
	}

	/** Returns the time in milliseconds since the last report. */
	getAge(member: Member): number {
		return this.#clock.now() - this.#states.get(member).reportedAt;
	}

	/** Computes the load that candidates are compared by: the slow start makes that of a new upstream higher. */
	computeWeighted(member: Member, slots = member.slots): number {
		const age = this.#clock.now() - this.#states.get(member).readySince;
		return this.estimate(member, slots) / Math.max(minSlowStartShare, Math.min(1, age / slowStartMs));
	}

	/**
	 * Estimates the load in calls per slot: the higher of the reported load, which
	 * approaches the mean of others with its age, and the load from this node
	 * alone with one more call. That of the local upstream is known, and not reported.
	 */
	estimate(member: Member, slots = member.slots): number {
		const state = this.#states.get(member);
		const age = this.#clock.now() - state.reportedAt;
		const meanLoad = this.#meanLoads.get(member);
		const reportedLoad = this.#states.findExactLoad(member) ?? meanLoad + ((state.reportedLoad - meanLoad) * (0.5 ** (age / loadHalfLifeMs)));
		const localLoad = (state.inFlight + 1) / Math.max(1, slots);
		return Math.max(localLoad, reportedLoad);
	}
}
