/** Decides whether a call stays on its VM. */
import {type Member} from '@ebonylead/peers/generated/peers.js';

/** The upstream on the VM of this node. */
export type LocalTarget = {
	/** Identifier of its member. */
	readonly id: string;

	/** Returns its load in calls per slot at this moment. */
	readonly getLoad: () => number;
};

/** Load in calls per slot by which the local upstream may exceed the best sampled candidate: a call less between nodes saves each of two hops half of its processor time. */
const localMargin = 0.2;

/** Load in calls per slot from which calls are no longer kept here, as they may have to wait for a slot. */
const maxLocalLoad = 0.9;

/** Prefers the local upstream to the candidate that a ranking has chosen, unless it is worse by more than the second hop is worth. */
export class LocalPreference {
	readonly #local: LocalTarget;

	constructor(local: LocalTarget) {
		this.#local = local;
	}

	/**
	 * Chooses between the local upstream and the best candidate.
	 *
	 * @param candidates Those among which the local one may be: in the data centre that the rule prefers, of the version and so on that was decided before.
	 * @param best Candidate that the ranking has chosen.
	 * @param estimateLoad Estimates the load by which candidates are compared, in calls per slot.
	 */
	choose(candidates: readonly Member[], best: Member, estimateLoad: (member: Member) => number): Member {
		const {id, getLoad} = this.#local;
		if (best.id === id || getLoad() >= maxLocalLoad) {
			return best;
		}

		const local = candidates.find(member => member.id === id);
		return local !== undefined && estimateLoad(local) < estimateLoad(best) + localMargin ? local : best;
	}
}
