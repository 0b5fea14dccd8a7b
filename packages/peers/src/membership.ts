/** What a node knows of all members of its deployment. */
import {type Stream} from 'most';
import {hashText} from '@ebonylead/base/hash.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {MemberState, UpstreamState, type Member} from './generated/peers.js';

/** Buckets in which two nodes compare their members. */
export const bucketCount = 64;

/** Time in milliseconds for which a member that died or left is remembered. */
export const tombstoneTime = 2 * 60 * 60 * 1000;

/** Largest value of a key plus one. */
export const keySpaceSize = 0x1_00_00_00_00;

/** A member with what this node derives from its record. */
export type KnownMember = {
	readonly member: Member;

	/** Place in the key space of its data centre. */
	readonly key: number;

	/** Local monotonic time of the last change in milliseconds. */
	readonly changedAt: number;
};

/**
 * The table of members.
 *
 * A record replaces another of the same identity if its incarnation is higher,
 * or if it is equal and its state is later in the order alive, dead, left. So every node ends with the same table, in whatever order records come.
 */
export class Membership {
	readonly #members = new Map<string, KnownMember>();
	readonly #sorted = new Map<string, KnownMember[]>();
	readonly #buckets = new Uint32Array(bucketCount);
	readonly #changes = new StateCell<number>(0);
	readonly #heardVersions = new Map<string, number>();
	#byService: Map<string, Member[]> | undefined;

	/** Count of changes so far; it serves as a stamp for caches. */
	get stamp(): number {
		return this.#changes.value;
	}

	/** One hash over all active members. */
	get hash(): number {
		return this.#buckets.reduce((sum, bucket, index) => (sum + Math.imul(bucket, index + 1)) >>> 0, 0);
	}

	/** One hash for each bucket of active members. */
	get bucketHashes(): number[] {
		return [...this.#buckets];
	}

	/** Count of active members. */
	get activeCount(): number {
		return [...this.#sorted.values()].reduce((sum, members) => sum + members.length, 0);
	}

	/** Returns a stream of stamps, one for each change. */
	observeChanges(): Stream<number> {
		return this.#changes.observeChanges();
	}

	/** Returns a member by identity, whatever its state. */
	findMember(id: string): Member | undefined {
		return this.#members.get(id)?.member;
	}

	/** Returns the local monotonic time of a member's last change in milliseconds. */
	findChangeTime(id: string): number | undefined {
		return this.#members.get(id)?.changedAt;
	}

	/** Returns all members, those that died or left included. */
	listAll(): Member[] {
		return [...this.#members.values()].map(known => known.member);
	}

	/** Returns the names of the data centres that have active members. */
	listDataCentres(): string[] {
		return [...this.#sorted.entries()].filter(([, members]) => members.length > 0).map(([name]) => name).toSorted();
	}

	/** Returns the active members of a data centre in the order of their keys. */
	listActive(dataCentre: string): readonly KnownMember[] {
		return this.#sorted.get(dataCentre) ?? [];
	}

	/** Returns the members that are alive and beside a ready upstream of a service. */
	listReady(service: string): readonly Member[] {
		this.#byService ??= this.#groupByService();
		return this.#byService.get(service) ?? [];
	}

	/** Returns the members of some buckets, those that died or left included. */
	listBuckets(buckets: readonly number[]): Member[] {
		const wanted = new Set(buckets);
		return this.listAll().filter(member => wanted.has(findBucket(member.id)));
	}

	/**
	 * Merges records that came from elsewhere.
	 *
	 * @param now Local monotonic time in milliseconds.
	 * @returns The records that were new.
	 */
	merge(records: readonly Member[], now: number): Member[] {
		const news = records.filter(record => this.#mergeOne(record, now));
		if (news.length > 0) {
			this.#byService = undefined;
			this.#changes.set(this.#changes.value + 1);
		}

		return news;
	}

	/** Forgets the members that died or left long ago. */
	removeExpired(now: number): void {
		for (const [id, known] of this.#members) {
			if (known.member.state !== MemberState.ALIVE && now - known.changedAt > tombstoneTime) {
				this.#members.delete(id);
				this.#heardVersions.delete(id);
			}
		}
	}

	/** Remembers the highest version that an identity was heard to apply. */
	recordVersion(id: string, version: number): void {
		if (version > (this.#heardVersions.get(id) ?? 0)) {
			this.#heardVersions.set(id, version);
		}
	}

	/** Returns the highest version that an identity was heard to apply; 0 if none. */
	findHeardVersion(id: string): number {
		return this.#heardVersions.get(id) ?? 0;
	}

	#mergeOne(record: Member, now: number): boolean {
		const known = this.#members.get(record.id);
		if (known && !isNewer(record, known.member)) {
			return false;
		}

		const key = known?.key ?? hashText(record.id);
		const next: KnownMember = {member: record, key, changedAt: now};
		this.#members.set(record.id, next);
		this.#updateHash(known?.member);
		this.#updateHash(record);
		this.#updateSorted(known, next);
		return true;
	}

	/** Adds a member to its bucket's hash, or takes it out again: XOR does both. */
	#updateHash(member: Member | undefined): void {
		if (member?.state === MemberState.ALIVE) {
			const bucket = findBucket(member.id);
			const hash = hashText(`${member.id} ${member.incarnation} ${member.state}`);
			this.#buckets[bucket] = (this.#buckets[bucket]! ^ hash) >>> 0;
		}
	}

	#updateSorted(before: KnownMember | undefined, next: KnownMember): void {
		if (before) {
			const list = this.#sorted.get(before.member.dataCentre) ?? [];
			this.#sorted.set(before.member.dataCentre, list.filter(known => known.member.id !== next.member.id));
		}

		if (next.member.state === MemberState.ALIVE) {
			const list = this.#sorted.get(next.member.dataCentre) ?? [];
			this.#sorted.set(next.member.dataCentre, [...list, next].toSorted((left, right) => left.key - right.key));
		}
	}

	#groupByService(): Map<string, Member[]> {
		const groups = new Map<string, Member[]>();
		for (const {member} of this.#members.values()) {
			if (member.state === MemberState.ALIVE && member.upstreamState === UpstreamState.READY) {
				const group = groups.get(member.service) ?? [];
				group.push(member);
				groups.set(member.service, group);
			}
		}

		return groups;
	}
}

/** Says whether a record replaces another of the same identity. */
export function isNewer(record: Member, known: Member): boolean {
	return record.incarnation > known.incarnation
		|| (record.incarnation === known.incarnation && record.state > known.state);
}

/** Returns the bucket of an identity. */
function findBucket(id: string): number {
	return hashText(id, 1) % bucketCount;
}
