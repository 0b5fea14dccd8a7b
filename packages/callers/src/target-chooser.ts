/** Chooses the upstream for an attempt: load balancing, outlier ejection and data centre preference. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {capacityLimits, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {
	type CandidateRanking, type ChoiceInputs, type RankedCall, type RankingFactory,
} from './candidate-ranking.js';
import {type EjectionProbe} from './ejection-probe.js';
import {Ejections} from './ejections.js';
import {KnownNotices} from './known-notices.js';
import {LoadRanking} from './load-ranking.js';
import {LocalPreference, type LocalTarget} from './local-preference.js';
import {RouteContention} from './route-contention.js';
import {TargetStates} from './target-states.js';

/** Restricts the upstreams of a service that a call may be sent to, such as those of one version. */
export type CandidateFilter = {
	/** Returns the upstreams of the service that an attempt may choose from. Called for each attempt. */
	filterCandidates(service: string, ready: readonly Member[]): readonly Member[];

	/** Returns the upstreams to choose from if none of the filtered ones is a candidate; none if the call is then refused. */
	listFallback?(service: string, ready: readonly Member[], filtered: readonly Member[]): readonly Member[];
};

/** What restricts the choice, or adds to it. */
export type TargetChooserOptions = {
	/** Restricts the candidates; undefined if all upstreams of a service are. */
	readonly filter?: CandidateFilter;

	/** The upstream on the VM of this node; undefined if calls to it pass the mesh port like all others. */
	readonly local?: LocalTarget;

	/** Creates the order of the candidates; by their load if undefined. */
	readonly createRanking?: RankingFactory;
};

/** Why an upstream is no candidate at present; undefined if it is one. */
export type ExclusionReason = 'ejected' | 'tried' | 'leaving' | undefined;

/** If more than this share of a service's upstreams is ejected, the ejected ones are candidates again. */
const maxEjectedShare = 1 / 3;

/**
 * An upstream that refused a call for lack of capacity counts as full for this
 * share of its retry delay, within the bounds below, because a slot becomes
 * free every few milliseconds.
 */
const fullRetryAfterShare = 0.25;
const minFullMs = 10;
const maxFullMs = 40;

/** Maximum time in milliseconds for which an upstream counts as full that has no token of its limit left: until the one that the refused call could have got. */
const maxLimitedMs = 1000;

const createLoadRanking: RankingFactory = dependencies => new LoadRanking(dependencies);

/** Determines the candidates for an attempt, and has the ranking choose one of them. */
export class TargetChooser {
	/** What upstreams said of themselves in their responses. */
	readonly notices: KnownNotices;

	/** Which routes lack slots. */
	readonly contention: RouteContention;
	readonly #membership: Membership;
	readonly #dataCentre: string;
	readonly #clock: Clock;
	readonly #filter: CandidateFilter | undefined;
	readonly #states: TargetStates;
	readonly #ejections: Ejections;
	readonly #ranking: CandidateRanking;
	readonly #localPreference: LocalPreference | undefined;

	/**
	 * @param ejectionProbe By which ejections end; undefined if they end by time alone.
	 */
	constructor(membership: Membership, dataCentre: string, clock: Clock, random: Random, ejectionProbe?: EjectionProbe, options: TargetChooserOptions = {}) {
		const {filter, local, createRanking = createLoadRanking} = options;
		this.#membership = membership;
		this.#dataCentre = dataCentre;
		this.#clock = clock;
		this.#filter = filter;
		this.#states = new TargetStates(clock, local);
		this.#ejections = new Ejections(this.#states, membership, clock, random, ejectionProbe);
		this.#localPreference = local && new LocalPreference(local);
		this.#ranking = createRanking({
			states: this.#states, clock, random,
		});
		this.notices = new KnownNotices(clock);
		this.contention = new RouteContention(clock);
	}

	/**
	 * Chooses an upstream that the call was not sent to yet; returns undefined if there is none.
	 *
	 * @param attemptedIds Identifiers of the members that the call was sent to already.
	 * @param elapsed Time in milliseconds since the caller's first attempt at the call.
	 * @param isNested Whether an upstream has probably made the call while it processes another one.
	 */
	choose(service: string, route: Route, attemptedIds: ReadonlySet<string>, elapsed = 0, isNested = false): Member | undefined {
		this.#states.removeStale();
		const members = this.#membership.listReady(service);
		const ready = this.#filter?.filterCandidates(service, members) ?? members;
		const call = {route, elapsed, isNested};
		return this.#chooseAmong(ready, call, attemptedIds) ?? this.#chooseAmong(this.#filter?.listFallback?.(service, members, ready) ?? [], call, attemptedIds);
	}

	/**
	 * Finds the refusal of an upstream that counts as full for the route.
	 *
	 * Called if `choose` returned no candidate. Under overload this saves the
	 * attempts that would only end with the same refusal.
	 */
	findCapacityRefusal(service: string, route: Route): Refusal | undefined {
		const ready = this.#membership.listReady(service);
		const fullMember = ready.find(member => this.#isFull(member, route));
		return fullMember && this.#states.get(fullMember).capacityRefusals.get(route.key)?.refusal;
	}

	/** Records that an upstream refused a call of a route for lack of capacity. */
	recordCapacityRefusal(member: Member, route: Route, refusal: Refusal): void {
		const retryAfter = refusal.retryAfter ?? 0;
		const duration = refusal.lacking === capacityLimits.rate
			? Math.min(maxLimitedMs, retryAfter)
			: Math.min(maxFullMs, Math.max(minFullMs, retryAfter * fullRetryAfterShare));
		this.#states.get(member).capacityRefusals.set(route.key, {
			until: this.#clock.now() + duration,
			refusal: {
				...refusal, outcome: outcomes.notRun, hasReachedUpstream: false, reason: `all upstreams are full: ${refusal.reason}`,
			},
		});
	}

	/** Finds the reason why an upstream is no candidate at present, apart from a lack of capacity. */
	findExclusion(member: Member, attemptedIds: ReadonlySet<string> = new Set()): ExclusionReason {
		if (attemptedIds.has(member.id)) {
			return 'tried';
		}

		if (this.notices.isLeaving(member)) {
			return 'leaving';
		}

		const state = this.#states.find(member);
		return state && this.#ejections.isEjected(state) ? 'ejected' : undefined;
	}

	/** Records the start of an attempt. */
	recordStart(member: Member): void {
		this.#states.get(member).inFlight++;
	}

	/** Records the end of an attempt, with the load that the sidecar reported; `isFailure` is undefined if the end shows nothing about the upstream. */
	recordEnd(member: Member, isFailure: boolean | undefined, reportedLoad: number | undefined): void {
		const state = this.#states.get(member);
		state.inFlight = Math.max(0, state.inFlight - 1);
		if (reportedLoad !== undefined && Number.isFinite(reportedLoad)) {
			this.#ranking.recordLoad(member, reportedLoad);
		}

		if (isFailure !== undefined) {
			this.#ejections.recordEnd(member, isFailure);
		}
	}

	/** Records the share of its requests that an upstream accepts, between 0 and 1. */
	recordAcceptance(member: Member, share: number): void {
		this.#states.recordAcceptance(member, share);
	}

	/** Records what the sidecar reported of the capacity of its upstream on the response to a call of a route. */
	recordCapacity(member: Member, route: string, header: string | string[] | undefined): void {
		this.#ranking.recordCapacity?.(member, route, header);
	}

	/** Whether upstreams are chosen by more than their load. */
	get isExplained(): boolean {
		return this.#ranking.getInputs !== undefined;
	}

	/** Returns by what an upstream is chosen, for the log; undefined where that is its load alone. */
	getInputs(member: Member): ChoiceInputs | undefined {
		return this.#ranking.getInputs?.(member);
	}

	/** Records that no connection to the sidecar could be opened, which ejects the upstream at once. */
	recordUnreachable(member: Member): void {
		this.#ejections.eject(member, this.#states.get(member));
	}

	/** Stops probing. */
	close(): void {
		this.#ejections.close();
	}

	#chooseAmong(ready: readonly Member[], call: RankedCall, attemptedIds: ReadonlySet<string>): Member | undefined {
		const {route} = call;
		const {prefer} = route.rule;
		const candidates = this.#listCandidates(ready, attemptedIds).filter(member => !this.#isFull(member, route));
		const preferred = prefer === 'any' ? candidates : candidates.filter(member => member.dataCentre === (prefer === 'local' ? this.#dataCentre : prefer));
		const best = this.#ranking.choose({all: candidates, preferred}, call);
		const {estimateLoad} = this.#ranking;
		return best && estimateLoad && this.#localPreference ? this.#localPreference.choose(preferred, best, member => estimateLoad(member, call)) : best;
	}

	#isFull(member: Member, route: Route): boolean {
		const {capacityRefusals} = this.#states.get(member);
		return capacityRefusals.size > 0 && (capacityRefusals.get(route.key)?.until ?? 0) > this.#clock.now();
	}

	/** Lists the upstreams that do not leave and were neither attempted nor ejected; ejected ones too if their share exceeds `maxEjectedShare`, or if a call would find none before its first attempt. */
	#listCandidates(ready: readonly Member[], attemptedIds: ReadonlySet<string>): readonly Member[] {
		const unattempted = ready.filter(member => !attemptedIds.has(member.id) && !this.notices.isLeaving(member));
		const candidates = unattempted.filter(member => this.findExclusion(member) === undefined);
		const ejectedCount = unattempted.length - candidates.length;
		const isFirstWithoutCandidates = candidates.length === 0 && attemptedIds.size === 0;
		return isFirstWithoutCandidates || ejectedCount > Math.ceil(ready.length * maxEjectedShare) ? unattempted : candidates;
	}
}
