/** What a node observed of the upstreams that it sends calls to. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {computeFadedShare} from '@ebonylead/upstreams/acceptance.js';
import {type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {type LocalTarget} from './local-preference.js';

/** What this node observed of one upstream; times are monotonic, in milliseconds. */
export type TargetState = {
	/** Attempts of this node that are in flight there. */
	inFlight: number;

	/** Load that its sidecar reported last, in calls per slot. */
	reportedLoad: number;
	reportedAt: number;

	/** Share of the requests that the upstream accepted by the last report, and when that was. */
	acceptance: number;
	acceptanceAt: number;
	consecutiveFailures: number;
	ejections: number;
	ejectedUntil: number;

	/** Whether the ejection goes on until the sidecar responds to a probe. */
	isAwaitingProbe: boolean;

	/** Last refusal for lack of capacity by route, each with the time until which the upstream counts as full for the route. */
	readonly capacityRefusals: Map<string, {readonly until: number; readonly refusal: Refusal}>;

	/** Incarnation of the member record; a change means a restart, which ends an ejection and begins a slow start. */
	incarnation: number;
	readySince: number;
};

/** The state of an upstream without attempts in flight is dropped this long after its last reported load, its last ejection and its start. */
const stateTtlMs = 600_000;

/** Half-life in milliseconds with which the reported acceptance of an upstream approaches 1. */
const acceptanceHalfLifeMs = 4000;

/** Time in milliseconds after the last report of refusals from which on no upstream counts as refusing; little is left of any report then. */
const refusalMemoryMs = 20_000;

/** Number of choices between two removals of stale states. */
const choicesPerSweep = 10_000;

/** Keeps the states of the upstreams by member. */
export class TargetStates {
	readonly #clock: Clock;
	readonly #local: LocalTarget | undefined;
	readonly #states = new Map<string, TargetState>();
	#choiceCount = 0;
	#lastRefusalAt = Number.NEGATIVE_INFINITY;

	/** @param local The upstream on the VM of this node; undefined if its load is not known here. */
	constructor(clock: Clock, local?: LocalTarget) {
		this.#clock = clock;
		this.#local = local;
	}

	/** Finds the state of an upstream unless it has restarted since. */
	find(member: Member): TargetState | undefined {
		const state = this.#states.get(member.id);
		return state?.incarnation === member.incarnation ? state : undefined;
	}

	/** Returns the state of an upstream, a new one after its restart. */
	get(member: Member): TargetState {
		let state = this.#states.get(member.id);
		if (state === undefined) {
			state = {
				inFlight: 0,
				reportedLoad: 0,
				reportedAt: Number.NEGATIVE_INFINITY,
				acceptance: 1,
				acceptanceAt: Number.NEGATIVE_INFINITY,
				consecutiveFailures: 0,
				ejections: 0,
				ejectedUntil: 0,
				isAwaitingProbe: false,
				capacityRefusals: new Map(),
				incarnation: member.incarnation,
				readySince: this.#clock.now(),
			};
			this.#states.set(member.id, state);
		} else if (state.incarnation !== member.incarnation) {
			state.incarnation = member.incarnation;
			state.ejectedUntil = 0;
			state.isAwaitingProbe = false;
			state.consecutiveFailures = 0;
			state.reportedAt = Number.NEGATIVE_INFINITY;
			state.acceptance = 1;
			state.readySince = this.#clock.now();
		}

		return state;
	}

	/** Records the share of the requests that an upstream accepts, as its sidecar reported it. */
	recordAcceptance(member: Member, share: number): void {
		const state = this.get(member);
		const now = this.#clock.now();
		state.acceptance = share;
		state.acceptanceAt = now;
		if (share < 1) {
			this.#lastRefusalAt = now;
		}
	}

	/** Whether an upstream may refuse requests at present; it saves the estimate for each candidate while none does. */
	get isAnyRefusing(): boolean {
		return this.#clock.now() - this.#lastRefusalAt < refusalMemoryMs;
	}

	/** Estimates the share of the requests that an upstream accepts: an old report counts less, as it may have recovered. */
	estimateAcceptance(member: Member): number {
		const {acceptance, acceptanceAt} = this.get(member);
		return computeFadedShare(acceptance, this.#clock.now() - acceptanceAt, acceptanceHalfLifeMs);
	}

	/** Finds the load of an upstream in calls per slot if this node knows it at this moment. */
	findExactLoad(member: Member): number | undefined {
		return member.id === this.#local?.id ? this.#local.getLoad() : undefined;
	}

	/** Removes stale states now and then; called for each choice. */
	removeStale(): void {
		this.#choiceCount++;
		if (this.#choiceCount % choicesPerSweep !== 0) {
			return;
		}

		const now = this.#clock.now();
		for (const [id, state] of this.#states) {
			if (state.inFlight === 0 && now - Math.max(state.reportedAt, state.ejectedUntil, state.readySince) > stateTtlMs) {
				this.#states.delete(id);
			}
		}
	}
}
