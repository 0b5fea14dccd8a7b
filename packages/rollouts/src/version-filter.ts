/** Decides which version of a service an attempt may choose from. */
import {type Random} from '@ebonylead/base/base.js';
import {hashText} from '@ebonylead/base/hash.js';
import {type CandidateFilter} from '@ebonylead/callers/target-chooser.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {rolloutStates, type RolloutOrder, type RolloutState} from './rollouts.js';

/** What a node knows of the roll-outs. */
export type RolloutKnowledge = {
	/** Whether all orders are known up to a moment that is so recent that the upstreams of a later order can't be ready yet. */
	readonly isCurrent: boolean;

	/** Returns what is known of the latest order for a service; undefined if there is none, or if it was completed some time ago. The state is undefined until it is known whether one was recorded. */
	findActiveRollout(service: string): {readonly order: RolloutOrder; readonly state: RolloutState | undefined} | undefined;

	/** Returns whether a version was rolled back, and no order names it since. */
	isRolledBack(service: string, version: string): boolean;
};

/** Dependencies of `VersionFilter`. */
export type VersionFilterDependencies = {
	readonly knowledge: RolloutKnowledge;
	readonly random: Random;

	/** Share of the requests that a bad version may receive. */
	readonly exposeShare: number;

	/** Called with the service of each attempt that is sent to the new version of a running roll-out. */
	readonly onExposed?: (service: string) => void;
};

/** Part of the permitted share that is used. The rest covers the spread of the random choices: with 1,000 attempts and a share of 0.1, the permitted share is 2.3 standard deviations away, and the slack another 5. */
const exposurePart = 0.8;

/** Minimum number of upstreams that the exposed calls go to: with one, a bad upstream can't be told from a bad version. */
const minExposedUpstreams = 2;

/** The upstreams of a service by version. */
type VersionGroups = {
	readonly older: readonly Member[];

	/** Upstreams of the new version that the exposed calls go to. */
	readonly exposed: readonly Member[];
	readonly newer: readonly Member[];
};

/** The groups of the last list of upstreams of a service, as they are the same for most attempts. */
type CachedGroups = {readonly ready: readonly Member[]; readonly order: RolloutOrder; readonly groups: VersionGroups};

/**
 * Exposes a new version to a share of the attempts.
 *
 * Each node decides for each attempt by itself, at random. The sum over the
 * fleet is binomially distributed with the same share, whatever part of the
 * traffic each node has, so that no messages are needed.
 */
export class VersionFilter implements CandidateFilter {
	readonly #dependencies: VersionFilterDependencies;
	readonly #share: number;
	readonly #cache = new Map<string, CachedGroups>();

	constructor(dependencies: VersionFilterDependencies) {
		this.#dependencies = dependencies;
		this.#share = dependencies.exposeShare * exposurePart;
	}

	filterCandidates(service: string, ready: readonly Member[]): readonly Member[] {
		const {knowledge, random, onExposed} = this.#dependencies;
		const rollout = knowledge.findActiveRollout(service);
		if (rollout === undefined) {
			return this.#filterWithoutOrder(service, ready);
		}

		const {older, exposed, newer} = this.#getGroups(service, ready, rollout.order);
		switch (rollout.state) {
			case rolloutStates.running: {
				if (exposed.length === 0 || random.next() >= this.#share) {
					return older;
				}

				onExposed?.(service);
				return exposed;
			}

			case rolloutStates.shifting:
			case rolloutStates.completed: {
				return newer.length > 0 ? newer : older;
			}

			case rolloutStates.rolledBack: {
				return older;
			}

			case undefined: {
				// The roll-out may have been completed, and the older upstreams may have ended.
				return older.length > 0 ? older : newer;
			}
		}
	}

	/** Exposed calls fall back to the older upstreams; others are never sent to the new version instead. */
	listFallback(service: string, ready: readonly Member[], filtered: readonly Member[]): readonly Member[] {
		const rollout = this.#dependencies.knowledge.findActiveRollout(service);
		if (rollout?.state !== rolloutStates.running) {
			return [];
		}

		const {older, exposed} = this.#getGroups(service, ready, rollout.order);
		return filtered === exposed ? older : [];
	}

	/** Lists the upstreams that the exposed calls go to, in a running roll-out. */
	listExposed(service: string, ready: readonly Member[]): readonly Member[] {
		const rollout = this.#dependencies.knowledge.findActiveRollout(service);
		return rollout === undefined ? [] : this.#getGroups(service, ready, rollout.order).exposed;
	}

	/** A version that no order names is used without limits, unless this node may lack the order. */
	#filterWithoutOrder(service: string, ready: readonly Member[]): readonly Member[] {
		const {knowledge} = this.#dependencies;
		const version = getVersion(ready[0]);
		if (ready.every(member => getVersion(member) === version)) {
			return ready;
		}

		if (!knowledge.isCurrent) {
			const majority = findMajority(ready);
			return ready.filter(member => getVersion(member) === majority);
		}

		return ready.filter(member => !knowledge.isRolledBack(service, getVersion(member)));
	}

	#getGroups(service: string, ready: readonly Member[], order: RolloutOrder): VersionGroups {
		const cached = this.#cache.get(service);
		if (cached?.ready === ready && cached.order === order) {
			return cached.groups;
		}

		const groups = this.#buildGroups(ready, order);
		this.#cache.set(service, {ready, order, groups});
		return groups;
	}

	#buildGroups(ready: readonly Member[], order: RolloutOrder): VersionGroups {
		const {knowledge} = this.#dependencies;
		const newer = ready.filter(member => getVersion(member) === order.to);
		const older = ready.filter(member => getVersion(member) !== order.to && !knowledge.isRolledBack(order.service, getVersion(member)));
		return {older, newer, exposed: chooseExposed(newer, order, computeExposedCount(older.length, this.#share))};
	}
}

/** Computes the number of upstreams that get the exposed calls, so that each has about the load of an older one: faults that appear under load must show. */
function computeExposedCount(olderCount: number, share: number): number {
	return Math.max(minExposedUpstreams, Math.floor(olderCount * share / (1 - share)));
}

/** Chooses the same upstreams on every node: the first ones by rendezvous hash. */
function chooseExposed(newer: readonly Member[], {service, to, revision}: RolloutOrder, count: number): readonly Member[] {
	if (newer.length <= count) {
		return newer;
	}

	const rank = (member: Member) => hashText(`${service} ${to} ${revision} ${member.id}`);
	return newer.toSorted((left, right) => rank(left) - rank(right)).slice(0, count);
}

/** Finds the version of most upstreams; of versions with equally many, the one that was there first. */
function findMajority(ready: readonly Member[]): string {
	const counts = new Map<string, {count: number; firstIncarnation: number}>();
	for (const member of ready) {
		const known = counts.get(getVersion(member));
		counts.set(getVersion(member), {
			count: (known?.count ?? 0) + 1, firstIncarnation: Math.min(known?.firstIncarnation ?? Number.POSITIVE_INFINITY, member.incarnation),
		});
	}

	const [first] = [...counts].toSorted(([, left], [, right]) => right.count - left.count || left.firstIncarnation - right.firstIncarnation);
	return first![0];
}

function getVersion(member: Member | undefined): string {
	return member?.upstreamVersion ?? '';
}
