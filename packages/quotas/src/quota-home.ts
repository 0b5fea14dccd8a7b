/** Chooses the node that keeps the ledger of quotas. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {hashText} from '@ebonylead/base/hash.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';

/** Bounds of the time in milliseconds for which a node that did not respond is left out. It doubles with each failure in a row, and is chosen at random between half of it and all. */
const minSuspensionMs = 1000;
const maxSuspensionMs = 4000;

/** Failures in a row after which the home that responded before stays it: a node that changes homes for a late response splits the ledger. */
const toleratedFailures = 2;

/** Failures in a row up to which a member is tried again because another node reaches it. */
const maxReconsideredFailures = 4;

/** Dependencies of `QuotaHome`. */
export type QuotaHomeDependencies = {
	readonly clock: Clock;
	readonly random: Random;

	/** Lists the members that are alive, by rank. */
	readonly listRanked: () => readonly Member[];
};

/** Ranks members by the bandwidth of their links, as the home receives a message of each node every second, and equal ones by rendezvous hash. */
export function rankHomes(members: readonly Member[]): Member[] {
	const keyed = members.map(member => ({member, hash: hashText(`quotas ${member.id}`)}));
	return keyed.toSorted((left, right) => (right.member.linkRate ?? 0) - (left.member.linkRate ?? 0) || left.hash - right.hash).map(({member}) => member);
}

/** The first member by rank that responds to this node. Two nodes may choose different homes; each then allocates only a part of the quotas. */
export class QuotaHome {
	readonly #dependencies: QuotaHomeDependencies;

	/** The member that responded last, unless it is left out. */
	#responsiveId: string | undefined;
	readonly #failures = new Map<string, {count: number; until: number}>();

	constructor(dependencies: QuotaHomeDependencies) {
		this.#dependencies = dependencies;
	}

	/** Finds the home; undefined if no member responds. */
	find(): Member | undefined {
		const {clock, listRanked} = this.#dependencies;
		const now = clock.now();
		return listRanked().find(({id}) => now >= (this.#failures.get(id)?.until ?? 0));
	}

	/** Records that a member did not respond. It is left out for a time if it did not respond before either, or if no process listens there. */
	recordFailure(id: string, isRefused: boolean): void {
		const {clock, random} = this.#dependencies;
		const count = (this.#failures.get(id)?.count ?? 0) + 1;
		const isTolerated = !isRefused && this.#responsiveId === id && count <= toleratedFailures;
		if (isTolerated) {
			this.#failures.set(id, {count, until: 0});
			return;
		}

		if (this.#responsiveId === id) {
			this.#responsiveId = undefined;
		}

		const duration = Math.min(maxSuspensionMs, minSuspensionMs * (2 ** (count - 1)));
		this.#failures.set(id, {count, until: clock.now() + (duration * (1 + random.next()) / 2)});
	}

	/** Tries a member again that another node reaches, and returns whether it was left out. After several failures it stays left out, as it may be cut off from this node only. */
	reconsider(id: string): boolean {
		const failure = this.#failures.get(id);
		if (failure === undefined || failure.count > maxReconsideredFailures) {
			return false;
		}

		this.#failures.set(id, {...failure, until: 0});
		return true;
	}

	/** Records that a member responded. */
	recordResponse(id: string): void {
		this.#failures.delete(id);
		this.#responsiveId = id;
	}
}
