/** Ranks candidates by their load alone. */
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {
	type CandidateRanking, type RankedCall, type RankedCandidates, type RankingDependencies,
} from './candidate-ranking.js';
import {LoadEstimates} from './load-estimates.js';
import {ServiceMeanLoads} from './mean-loads.js';
import {type TargetStates} from './target-states.js';

/** Bounds of the number of random candidates that are compared for each choice. */
const minSampleSize = 2;
const maxSampleSize = 4;

/** Maximum share of the candidates that are compared beyond the minimum: if all were, all calls would go to the same one until it reported again. */
const maxSampleShare = 0.5;

/** Load in calls per slot from which calls may leave the preferred data centre. */
const spilloverLoad = 0.9;

/**
 * Difference in load, in calls per slot, by which an upstream of another data
 * centre must be less loaded: traffic between data centres has a cost.
 */
const spilloverMargin = 0.15;

/** Used in place of `spilloverMargin` if the other upstream has no free slot either: the call would wait at both, so that moving it gains little. */
const fullSpilloverMargin = 0.5;

/** Estimated share of accepted requests below which an upstream is compared apart from those that accept all. */
const minAcceptance = 0.9;

/** Load in calls per slot that the certain refusal of a call weighs: its caller may return, but a further attempt draws on the retry budget. */
const refusalLoad = 0.5;

/** The same for a call that an upstream has made: its refusal wastes the run that it was made for. */
const nestedRefusalLoad = 3;

/** Chooses the least loaded of a few random candidates ("power of d choices"), with preference for the data centre that the rule names. */
export class LoadRanking implements CandidateRanking {
	readonly #loads: LoadEstimates;
	readonly #random: Random;
	readonly #states: TargetStates;

	constructor({states, clock, random}: RankingDependencies) {
		this.#states = states;
		this.#loads = new LoadEstimates(states, clock, new ServiceMeanLoads());
		this.#random = random;
	}

	choose(candidates: RankedCandidates, call: RankedCall): Member | undefined {
		if (!this.#states.isAnyRefusing) {
			return this.#chooseByLoad(candidates);
		}

		const isAccepting = (member: Member) => this.#states.estimateAcceptance(member) >= minAcceptance;
		const accepting = this.#chooseByLoad(filterCandidates(candidates, isAccepting));
		const refusing = this.#chooseByLoad(filterCandidates(candidates, member => !isAccepting(member)));
		if (accepting === undefined || refusing === undefined) {
			return accepting ?? refusing;
		}

		return this.estimateLoad(accepting, call) <= this.estimateLoad(refusing, call) ? accepting : refusing;
	}

	/** The slow start makes the load of a new upstream higher, and refusals that of one that makes them. */
	readonly estimateLoad = (member: Member, {isNested}: RankedCall): number => {
		const refusedShare = this.#states.isAnyRefusing ? 1 - this.#states.estimateAcceptance(member) : 0;
		return this.#loads.computeWeighted(member) + (refusedShare * (isNested ? nestedRefusalLoad : refusalLoad));
	};

	recordLoad(member: Member, load: number): void {
		this.#loads.record(member, load);
	}

	#chooseByLoad({all, preferred}: RankedCandidates): Member | undefined {
		const preferredMember = this.#chooseOfSample(preferred);
		if (preferredMember && (preferred.length === all.length || this.#loads.estimate(preferredMember) < spilloverLoad)) {
			return preferredMember;
		}

		const anyMember = this.#chooseOfSample(all);
		if (preferredMember === undefined || anyMember === undefined) {
			return anyMember ?? preferredMember;
		}

		const anyMemberLoad = this.#loads.estimate(anyMember);
		const margin = anyMemberLoad < spilloverLoad ? spilloverMargin : fullSpilloverMargin;
		return anyMemberLoad + margin < this.#loads.estimate(preferredMember) ? anyMember : preferredMember;
	}

	#chooseOfSample(members: readonly Member[]): Member | undefined {
		if (members.length < minSampleSize) {
			return members[0];
		}

		const count = Math.max(minSampleSize, Math.min(maxSampleSize, Math.floor(members.length * maxSampleShare)));

		// Steps of at most this length visit no member twice.
		const maxStep = Math.floor(members.length / count);
		let index = chooseInteger(this.#random, members.length);
		let best: Member | undefined;
		let bestLoad = Number.POSITIVE_INFINITY;
		for (let sample = 0; sample < count; sample++) {
			const member = members[index]!;
			const load = this.#loads.computeWeighted(member);
			if (load < bestLoad) {
				best = member;
				bestLoad = load;
			}

			index = (index + 1 + chooseInteger(this.#random, maxStep)) % members.length;
		}

		return best;
	}
}

function filterCandidates({all, preferred}: RankedCandidates, isIncluded: (member: Member) => boolean): RankedCandidates {
	const included = all.filter(member => isIncluded(member));
	return {all: included, preferred: preferred === all ? included : preferred.filter(member => isIncluded(member))};
}
