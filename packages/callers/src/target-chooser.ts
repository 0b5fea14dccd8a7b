/** Chooses the upstream for a try. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type Route} from '@ebonylead/rules/route-table.js';
import {outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';

/** What this node saw of one upstream. */
type TargetState = {
	/** Tries of this node that run there. */
	inFlight: number;

	/** Load that its node reported last: calls for each slot. */
	reportedLoad: number;
	reportedAt: number;
	consecutiveFailures: number;
	ejections: number;
	ejectedUntil: number;

	/** Refusals for want of room by route, with the time up to which they hold. */
	readonly full: Map<string, {readonly until: number; readonly refusal: Refusal}>;

	/** Incarnation of the record, to notice a restart. */
	incarnation: number;
	readySince: number;
};

/** Why an upstream is not chosen at present; undefined where it may be. */
export type ExclusionReason = 'ejected' | 'tried' | undefined;

const maxConsecutiveFailures = 3;
const ejectionBaseMs = 2000;
const ejectionCapMs = 60_000;

/** At most this share of a service's upstreams is ejected. */
const maxEjectedShare = 1 / 3;

/** A reported load counts half after this time in milliseconds. */
const loadHalfLifeMs = 1000;

/** Time in milliseconds in which a new upstream gets a growing share. */
const slowStartMs = 5000;
const minSlowStartShare = 0.1;

/** Load from which calls may leave the preferred data centre. */
const spilloverLoad = 0.9;

/** How much less loaded, in calls for each slot, an upstream of another data centre must be: bytes between them cost. */
const spilloverMargin = 0.15;

/** As `spillMargin`, where the other one has no free slot either: a call would wait at both, so that little is won. */
const fullSpilloverMargin = 0.5;

/** Part of the wait that an upstream tells for which it counts as full, and its bounds in milliseconds: a slot comes free every few milliseconds. */
const fullRetryAfterShare = 0.25;
const minFullMs = 10;
const maxFullMs = 40;
const stateTtlMs = 600_000;
const choicesPerSweep = 10_000;

/** Picks the better of two random upstreams, those of the preferred data centre first. */
export class TargetChooser {
	readonly #membership: Membership;
	readonly #dataCentre: string;
	readonly #clock: Clock;
	readonly #random: Random;
	readonly #states = new Map<string, TargetState>();
	#choiceCount = 0;

	constructor(membership: Membership, dataCentre: string, clock: Clock, random: Random) {
		this.#membership = membership;
		this.#dataCentre = dataCentre;
		this.#clock = clock;
		this.#random = random;
	}

	/** Chooses an upstream that was not tried yet, or undefined where there is none. */
	choose(service: string, route: Route, attemptedIds: ReadonlySet<string>): Member | undefined {
		this.#removeStaleStates();
		const {prefer} = route.rule;
		const ready = this.#membership.listReady(service);
		const candidates = this.#listCandidates(ready, attemptedIds).filter(member => !this.#isFull(member, route));
		const preferred = prefer === 'any' ? candidates : candidates.filter(member => member.dataCentre === (prefer === 'local' ? this.#dataCentre : prefer));
		const preferredMember = this.#chooseOfTwo(preferred);
		if (preferredMember && (preferred.length === candidates.length || this.#estimateLoad(preferredMember) < spilloverLoad)) {
			return preferredMember;
		}

		const anyMember = this.#chooseOfTwo(candidates);
		if (preferredMember === undefined || anyMember === undefined) {
			return anyMember ?? preferredMember;
		}

		const anyMemberLoad = this.#estimateLoad(anyMember);
		const margin = anyMemberLoad < spilloverLoad ? spilloverMargin : fullSpilloverMargin;
		return anyMemberLoad + margin < this.#estimateLoad(preferredMember) ? anyMember : preferredMember;
	}

	/**
	 * Returns the refusal for a call whose upstreams all refused calls of its
	 * route just now for want of room; undefined where one may be asked. Under
	 * overload this spares the hops that could only bring the same refusal.
	 */
	findRefusal(service: string, route: Route): Refusal | undefined {
		const ready = this.#membership.listReady(service);
		const fullMember = ready.find(member => this.#isFull(member, route));
		return fullMember && this.#getState(fullMember).full.get(route.key)?.refusal;
	}

	/** Notes that an upstream had no room for a call of a route. */
	recordFull(member: Member, route: Route, refusal: Refusal): void {
		const duration = Math.min(maxFullMs, Math.max(minFullMs, (refusal.retryAfter ?? 0) * fullRetryAfterShare));
		this.#getState(member).full.set(route.key, {
			until: this.#clock.now() + duration,
			refusal: {
				...refusal, outcome: outcomes.notRun, hasArrived: false, reason: `all upstreams are full: ${refusal.reason}`,
			},
		});
	}

	/** Returns why an upstream would not be chosen now. */
	findExclusion(member: Member, attemptedIds: ReadonlySet<string> = new Set()): ExclusionReason {
		if (attemptedIds.has(member.id)) {
			return 'tried';
		}

		return (this.#states.get(member.id)?.ejectedUntil ?? 0) > this.#clock.now() ? 'ejected' : undefined;
	}

	/** Notes the start of a try. */
	recordStart(member: Member): void {
		this.#getState(member).inFlight++;
	}

	/** Notes the end of a try, with the load that the upstream's node reported. */
	recordEnd(member: Member, isFailure: boolean, reportedLoad: number | undefined): void {
		const state = this.#getState(member);
		state.inFlight = Math.max(0, state.inFlight - 1);
		if (reportedLoad !== undefined && Number.isFinite(reportedLoad)) {
			state.reportedLoad = reportedLoad;
			state.reportedAt = this.#clock.now();
		}

		if (!isFailure) {
			state.consecutiveFailures = 0;
			state.ejections = 0;
			return;
		}

		state.consecutiveFailures++;
		if (state.consecutiveFailures >= maxConsecutiveFailures) {
			this.#eject(state);
		}
	}

	/** Ejects an upstream at once: its node refused a connection. */
	recordUnreachable(member: Member): void {
		this.#eject(this.#getState(member));
	}

	#isFull(member: Member, route: Route): boolean {
		const {full} = this.#getState(member);
		return full.size > 0 && (full.get(route.key)?.until ?? 0) > this.#clock.now();
	}

	#eject(state: TargetState): void {
		const duration = Math.min(ejectionCapMs, ejectionBaseMs * (2 ** state.ejections)) * (0.5 + (this.#random.next() / 2));
		state.ejections++;
		state.consecutiveFailures = 0;
		state.ejectedUntil = this.#clock.now() + duration;
	}

	/** Leaves out tried and ejected upstreams; past the cap on ejections, ejected ones count again. */
	#listCandidates(ready: readonly Member[], attemptedIds: ReadonlySet<string>): readonly Member[] {
		const unattempted = attemptedIds.size === 0 ? ready : ready.filter(member => !attemptedIds.has(member.id));
		const candidates = unattempted.filter(member => this.findExclusion(member) === undefined);
		const ejectedCount = unattempted.length - candidates.length;
		return ejectedCount > Math.ceil(ready.length * maxEjectedShare) ? unattempted : candidates;
	}

	#chooseOfTwo(members: readonly Member[]): Member | undefined {
		if (members.length < 2) {
			return members[0];
		}

		const first = pickInteger(this.#random, members.length);
		const second = (first + 1 + pickInteger(this.#random, members.length - 1)) % members.length;
		const [left, right] = [members[first]!, members[second]!];
		return this.#computeWeightedLoad(left) <= this.#computeWeightedLoad(right) ? left : right;
	}

	/** Returns the load as the choice sees it; a new upstream seems more loaded than it is. */
	#computeWeightedLoad(member: Member): number {
		const age = this.#clock.now() - this.#getState(member).readySince;
		return this.#estimateLoad(member) / Math.max(minSlowStartShare, Math.min(1, age / slowStartMs));
	}

	/** Estimates calls for each slot. */
	#estimateLoad(member: Member): number {
		const state = this.#getState(member);
		const age = this.#clock.now() - state.reportedAt;
		const reported = state.reportedLoad * (0.5 ** (age / loadHalfLifeMs));
		const own = (state.inFlight + 1) / Math.max(1, member.slots);
		return Math.max(own, reported);
	}

	#getState(member: Member): TargetState {
		let state = this.#states.get(member.id);
		if (state === undefined) {
			state = {
				inFlight: 0, reportedLoad: 0, reportedAt: 0, consecutiveFailures: 0, ejections: 0, ejectedUntil: 0, full: new Map(), incarnation: member.incarnation, readySince: this.#clock.now(),
			};
			this.#states.set(member.id, state);
		} else if (state.incarnation !== member.incarnation) {
			state.incarnation = member.incarnation;
			state.ejectedUntil = 0;
			state.consecutiveFailures = 0;
			state.readySince = this.#clock.now();
		}

		return state;
	}

	#removeStaleStates(): void {
		this.#choiceCount++;
		if (this.#choiceCount % choicesPerSweep !== 0) {
			return;
		}

		const now = this.#clock.now();
		for (const [id, state] of this.#states) {
			if (state.inFlight === 0 && now - state.reportedAt > stateTtlMs) {
				this.#states.delete(id);
			}
		}
	}
}
