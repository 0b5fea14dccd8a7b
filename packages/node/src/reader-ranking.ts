/** Ranks the nodes of a data centre that read the rules from the store for the others. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {hashText} from '@ebonylead/base/hash.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';

/** Dependencies of `ReaderRanking`. */
export type ReaderRankingDependencies = {
	/** Identity and data centre of this node. */
	readonly id: string;
	readonly dataCentre: string;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;

	/** Number of readers in each data centre. The first one reads the store, the others follow it, share its followers and stand by. */
	readonly readerCount: number;
};

/** Bounds of the time for which a node that did not help is left out. It doubles with each consecutive failure, and is chosen at random between half of it and all. */
const minSuspensionMs = 2000;
const maxSuspensionMs = 16_000;

/**
 * Ranks nodes by the bandwidth of their links, and equal ones by rendezvous
 * hash, so that a change of one member moves few followers. Nodes may disagree about the members: a node that reads without
 * need only costs a read, and one that follows a node that does not read gets
 * what that one receives.
 */
export class ReaderRanking {
	readonly #dependencies: ReaderRankingDependencies;
	readonly #suspensions = new Map<string, {until: number; failures: number}>();
	#rankedRevision = -1;
	#rankedByDataCentre = new Map<string, Member[]>();

	constructor(dependencies: ReaderRankingDependencies) {
		this.#dependencies = dependencies;
	}

	/** Whether this node is the first reader of its data centre. */
	get isReader(): boolean {
		return this.#rank === 0;
	}

	/** Whether this node is another reader of its data centre, which stands by. */
	get isStandby(): boolean {
		return this.#rank > 0;
	}

	/** Lists the origins of the other readers of this node's data centre, in the order in which this node prefers them. */
	listOrigins(): string[] {
		return this.#listOrigins(this.#listReaders(this.#dependencies.dataCentre));
	}

	/** Lists the origins of the readers of all other data centres, in the order in which this node prefers them. */
	listRemoteOrigins(): string[] {
		const {dataCentre: own, membership} = this.#dependencies;
		const dataCentres = membership.listDataCentres().filter(dataCentre => dataCentre !== own);
		return this.#listOrigins(dataCentres.flatMap(dataCentre => this.#listReaders(dataCentre)));
	}

	/** Leaves a node out for a time, as it did not answer or has no fresh confirmation from the store. */
	suspend(origin: string): void {
		const {clock, random} = this.#dependencies;
		const failures = (this.#suspensions.get(origin)?.failures ?? 0) + 1;
		const duration = Math.min(maxSuspensionMs, minSuspensionMs * (2 ** (failures - 1)));
		this.#suspensions.set(origin, {failures, until: clock.now() + (duration * (1 + random.next()) / 2)});
	}

	/** Ends the suspension of a node that has a fresh confirmation from the store. */
	release(origin: string): void {
		this.#suspensions.delete(origin);
	}

	get #rank(): number {
		const {id, dataCentre} = this.#dependencies;
		return this.#listReaders(dataCentre).findIndex(member => member.id === id);
	}

	#listReaders(dataCentre: string): Member[] {
		const {id, readerCount} = this.#dependencies;
		const usable = this.#listRanked(dataCentre).filter(member => member.id === id || !this.#isSuspended(getOrigin(member)));
		return usable.slice(0, readerCount);
	}

	#listOrigins(members: readonly Member[]): string[] {
		const {id} = this.#dependencies;
		return members.filter(member => member.id !== id)
			.toSorted((left, right) => hashText(`${id} ${left.id}`) - hashText(`${id} ${right.id}`))
			.map(member => getOrigin(member));
	}

	#listRanked(dataCentre: string): Member[] {
		const {membership} = this.#dependencies;
		if (membership.revision !== this.#rankedRevision) {
			this.#rankedRevision = membership.revision;
			this.#rankedByDataCentre = new Map();
		}

		let ranked = this.#rankedByDataCentre.get(dataCentre);
		if (ranked === undefined) {
			ranked = membership.listAlive(dataCentre).map(known => known.member).toSorted(compareReaders);
			this.#rankedByDataCentre.set(dataCentre, ranked);
		}

		return ranked;
	}

	#isSuspended(origin: string): boolean {
		return this.#dependencies.clock.now() < (this.#suspensions.get(origin)?.until ?? 0);
	}
}

/** Orders members by the bandwidth of their links, as a reader receives all rules for each version, then by rendezvous hash. */
function compareReaders(left: Member, right: Member): number {
	return (right.linkRate ?? 0) - (left.linkRate ?? 0) || hashText(`reader ${right.id}`) - hashText(`reader ${left.id}`);
}

function getOrigin(member: Member): string {
	return `http://${member.host}:${member.meshPort}`;
}
