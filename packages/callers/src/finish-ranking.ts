/** Ranks candidates by the time at which the call is expected to end there. */
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {decodeCapacity} from '@ebonylead/capacity/capacity.js';
import {SlownessTable} from '@ebonylead/capacity/slowness-table.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {
	type CandidateRanking, type ChoiceInputs, type RankedCall, type RankedCandidates, type RankingDependencies,
} from './candidate-ranking.js';
import {LoadEstimates} from './load-estimates.js';
import {DataCentreMeanLoads} from './mean-loads.js';

/** Maximum number of random candidates that are compared for each choice: it bounds the cost of a choice. */
const maxSampleSize = 8;

/** Maximum share of the candidates that are compared beyond two: if all were, all calls would go to the same one until it reported again. */
const maxSampleShare = 0.5;
const minSampleSize = 2;

/** A candidate suits a call if it ends within this share of the time that is left of its objective: the work of a call is up to one and a half times the mean, and loads change. */
const suitableShare = 0.5;

/** Share of the choices that try one of the sampled candidates whose last report is oldest. */
const explorationShare = 0.02;

/** Load in calls per slot from which calls may leave the preferred data centre. */
const spilloverLoad = 0.9;

/** Difference in load by which a suitable upstream of another data centre must be less loaded, and share by which another must end earlier: traffic between data centres has a cost. */
const spilloverMargin = 0.15;

/** Share by which a call must end earlier in another data centre while there is a free slot in its own: otherwise the best of two samples would mostly be the remote one. */
const freeSpilloverMargin = 0.4;

/**
 * Width of the change from no wait to a wait, in calls per slot: reported loads
 * are some seconds old, so that a call may wait below the full load already.
 */
const loadUncertainty = 0.25;

/** Latency in milliseconds that is assumed to another data centre. */
const remoteLatencyMs = 2;

/** Service time in milliseconds that is assumed before an upstream reported one of the route. */
const unknownServiceTimeMs = 1;

/** Why a candidate was chosen. */
export const choiceReasons = {
	/** It ends well within the objective, and is the least loaded of those. */
	suitable: 'suitable',

	/** None does, and it ends first. */
	earliest: 'earliest',

	/** Its last report was the oldest. */
	explored: 'explored',

	/** It was the only candidate. */
	only: 'only',
} as const;

/** One of `choiceReasons`. */
export type ChoiceReason = typeof choiceReasons[keyof typeof choiceReasons];

/** What is expected of a call at one candidate. */
type Expectation = {
	readonly member: Member;
	readonly load: number;

	/** Milliseconds until the end of the call. */
	readonly finish: number;
	readonly isSuitable: boolean;

	/** That time and the time by which the call makes others wait, in milliseconds: without it, all calls would go to fast upstreams until these are as late as slow ones. */
	readonly cost: number;
};

/** Chooses the earliest expected end of a few random candidates, or the least loaded of those that end well within the objective of the call. */
export class FinishRanking implements CandidateRanking {
	readonly #loads: LoadEstimates;
	readonly #random: Random;
	readonly #slowness: SlownessTable;
	readonly #onChoice: ((reason: ChoiceReason) => void) | undefined;

	/** Learnt limits by member, each with the incarnation of the member record. */
	readonly #limits = new Map<string, {limit: number; incarnation: number}>();

	/** @param onChoice Called for each choice, for the metrics. */
	constructor({states, clock, random}: RankingDependencies, onChoice?: (reason: ChoiceReason) => void) {
		this.#loads = new LoadEstimates(states, clock, new DataCentreMeanLoads(clock));
		this.#random = random;
		this.#slowness = new SlownessTable(clock);
		this.#onChoice = onChoice;
	}

	/** A slow upstream counts as more loaded, by one call per slot for twice the service time, so that calls stay on their VM only where that is not slow. */
	readonly estimateLoad = (member: Member): number => this.#loads.computeWeighted(member, this.#getLimit(member)) + Math.log2(this.#slowness.get(member.id).factor);

	choose({all, preferred}: RankedCandidates, call: RankedCall): Member | undefined {
		if (all.length <= 1) {
			this.#onChoice?.(choiceReasons.only);
			return all[0];
		}

		if (this.#random.next() < explorationShare) {
			this.#onChoice?.(choiceReasons.explored);
			return this.#findOldest(this.#sample(preferred.length > 0 ? preferred : all));
		}

		const near = this.#findBest(preferred, call, 0);
		const isNearEnough = near !== undefined && (preferred.length === all.length || (near.isSuitable && near.load < spilloverLoad));
		const far = isNearEnough ? undefined : this.#findBest(all, call, remoteLatencyMs);
		const chosen = near && !(far && isWorthTheWay(far, near)) ? near : far!;
		this.#onChoice?.(chosen.isSuitable ? choiceReasons.suitable : choiceReasons.earliest);
		return chosen.member;
	}

	recordCapacity(member: Member, route: string, header: string | string[] | undefined): void {
		const report = decodeCapacity(header);
		if (report === undefined) {
			return;
		}

		const known = this.#limits.get(member.id);
		if (known !== undefined && known.incarnation !== member.incarnation) {
			this.#slowness.remove(member.id);
		}

		this.#limits.set(member.id, {limit: Math.min(report.limit, member.slots), incarnation: member.incarnation});
		this.#slowness.record(member.id, route, report.mean);
	}

	recordLoad(member: Member, load: number): void {
		this.#loads.record(member, load);
	}

	getInputs(member: Member): ChoiceInputs {
		const {factor, age} = this.#slowness.get(member.id);
		const limit = this.#getLimit(member);
		return {
			slowness: factor, slownessAge: age, load: this.#loads.estimate(member, limit), loadAge: this.#loads.getAge(member), limit,
		};
	}

	#getLimit(member: Member): number {
		const known = this.#limits.get(member.id);
		return known?.incarnation === member.incarnation ? known.limit : Math.max(1, member.slots);
	}

	#findBest(members: readonly Member[], call: RankedCall, latency: number): Expectation | undefined {
		const serviceTime = this.#slowness.findServiceTime(call.route.key) ?? unknownServiceTimeMs;
		const {rule} = call.route;
		const timeLeft = (rule.objective ?? rule.deadline) - call.elapsed;
		let best: Expectation | undefined;
		for (const member of this.#sample(members)) {
			const expectation = this.#estimate(member, serviceTime, timeLeft, latency);
			best = best === undefined || isBetter(expectation, best) ? expectation : best;
		}

		return best;
	}

	#estimate(member: Member, serviceTime: number, timeLeft: number, latency: number): Expectation {
		const limit = this.#getLimit(member);
		const load = this.#loads.computeWeighted(member, limit);
		const runTime = this.#slowness.get(member.id).factor * serviceTime;
		const {own, total} = estimateWaitFactors(load + (1 / limit));
		const finish = (runTime * own) + latency;
		return {
			member, load, finish, cost: (runTime * total) + latency, isSuitable: finish <= timeLeft * suitableShare,
		};
	}

	/** Lists a few random members; steps of at most this length visit none twice. */
	#sample(members: readonly Member[]): readonly Member[] {
		if (members.length <= minSampleSize) {
			return members;
		}

		const count = Math.max(minSampleSize, Math.min(maxSampleSize, Math.floor(members.length * maxSampleShare)));
		const maxStep = Math.floor(members.length / count);
		const sample: Member[] = [];
		let index = chooseInteger(this.#random, members.length);
		for (let position = 0; position < count; position++) {
			sample.push(members[index]!);
			index = (index + 1 + chooseInteger(this.#random, maxStep)) % members.length;
		}

		return sample;
	}

	#findOldest(members: readonly Member[]): Member {
		let oldest = members[0]!;
		let oldestAge = this.#slowness.get(oldest.id).age;
		for (const member of members) {
			const {age} = this.#slowness.get(member.id);
			if (age > oldestAge) {
				oldest = member;
				oldestAge = age;
			}
		}

		return oldest;
	}
}

/**
 * Estimates the time of a call relative to its service time at a load in calls per slot: max(1, load), rounded off as the load
 * is not known exactly; and the same with the time by which one more call makes the others wait, which is load times the derivative.
 */
function estimateWaitFactors(load: number): {readonly own: number; readonly total: number} {
	const root = Math.sqrt(((load - 1) ** 2) + (4 * (loadUncertainty ** 2)));
	const own = (load + 1 + root) / 2;
	return {own, total: own + (load * (1 + ((load - 1) / root)) / 2)};
}

function isBetter(left: Expectation, right: Expectation): boolean {
	if (left.isSuitable !== right.isSuitable) {
		return left.isSuitable;
	}

	return left.isSuitable ? left.load < right.load : left.cost < right.cost;
}

/** Returns whether a candidate of another data centre is better by more than the traffic between data centres is worth. */
function isWorthTheWay(far: Expectation, near: Expectation): boolean {
	return near.load < spilloverLoad ? far.cost < near.cost * (1 - freeSpilloverMargin) : isBetter(far, addMargin(near));
}

/** Returns the expectation of a preferred candidate as it compares with others. */
function addMargin(near: Expectation): Expectation {
	return {...near, load: near.load - spilloverMargin, cost: near.cost * (1 - spilloverMargin)};
}
