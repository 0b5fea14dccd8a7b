/** What a node knows of all members of its deployment. */
import {type Stream} from 'most';
import {hashText} from '@ebonylead/base/hash.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {MemberState, UpstreamState, type Member} from './generated/peers.js';

/** Buckets in which two nodes compare their members. */
export const bucketCount = 64;

/** Time in milliseconds for which a member that died or left is remembered. */
export const tombstoneTtlMs = 2 * 60 * 60 * 1000;

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
	readonly #activeByDataCentre = new Map<string, KnownMember[]>();
	readonly #buckets = new Uint32Array(bucketCount);
	readonly #changes = new StateCell<number>(0);
	readonly #reportedVersions = new Map<string, number>();
	#readyByService: Map<string, Member[]> | undefined;

	/** Count of changes so far; it serves as a stamp for caches. */
	get revision(): number {
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
		return [...this.#activeByDataCentre.values()].reduce((sum, members) => sum + members.length, 0);
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
		return [...this.#activeByDataCentre.entries()].filter(([, members]) => members.length > 0).map(([name]) => name).toSorted();
	}

	/** Returns the active members of a data centre in the order of their keys. */
	listActive(dataCentre: string): readonly KnownMember[] {
		return this.#activeByDataCentre.get(dataCentre) ?? [];
	}

	/** Returns the members that are alive and beside a ready upstream of a service. */
	listReady(service: string): readonly Member[] {
		this.#readyByService ??= this.#buildReadyByService();
		return this.#readyByService.get(service) ?? [];
	}

	/** Returns the members of some buckets, those that died or left included. */
	listMembersInBuckets(buckets: readonly number[]): Member[] {
		const bucketSet = new Set(buckets);
		return this.listAll().filter(member => bucketSet.has(computeBucket(member.id)));
	}

	/**
	 * Merges records that came from elsewhere.
	 *
	 * @param now Local monotonic time in milliseconds.
	 * @returns The records that were new.
	 */
	merge(records: readonly Member[], now: number): Member[] {
		const accepted = records.filter(record => this.#mergeRecord(record, now));
		if (accepted.length > 0) {
			this.#readyByService = undefined;
			this.#changes.set(this.#changes.value + 1);
		}

		return accepted;
	}

	/** Forgets the members that died or left long ago. */
	removeExpired(now: number): void {
		for (const [id, known] of this.#members) {
			if (known.member.state !== MemberState.ALIVE && now - known.changedAt > tombstoneTtlMs) {
				this.#members.delete(id);
				this.#reportedVersions.delete(id);
			}
		}
	}

	/** Remembers the highest version that an identity was heard to apply. */
	recordReportedVersion(id: string, version: number): void {
		if (version > (this.#reportedVersions.get(id) ?? 0)) {
			this.#reportedVersions.set(id, version);
		}
	}

	/** Returns the highest version that an identity was heard to apply; 0 if none. */
	getReportedVersion(id: string): number {
		return this.#reportedVersions.get(id) ?? 0;
	}

	#mergeRecord(record: Member, now: number): boolean {
		const known = this.#members.get(record.id);
		if (known && !isNewer(record, known.member)) {
			return false;
		}

		const key = known?.key ?? hashText(record.id);
		const next: KnownMember = {member: record, key, changedAt: now};
		this.#members.set(record.id, next);
		this.#updateBucketHash(known?.member);
		this.#updateBucketHash(record);
		this.#updateActive(known, next);
		return true;
	}

	/** Adds a member to its bucket's hash, or takes it out again: XOR does both. */
	#updateBucketHash(member: Member | undefined): void {
		if (member?.state === MemberState.ALIVE) {
			const bucket = computeBucket(member.id);
			const hash = hashText(`${member.id} ${member.incarnation} ${member.state}`);
			this.#buckets[bucket] = (this.#buckets[bucket]! ^ hash) >>> 0;
		}
	}

	#updateActive(previous: KnownMember | undefined, next: KnownMember): void {
		if (previous) {
			const list = this.#activeByDataCentre.get(previous.member.dataCentre) ?? [];
			this.#activeByDataCentre.set(previous.member.dataCentre, list.filter(known => known.member.id !== next.member.id));
		}

		if (next.member.state === MemberState.ALIVE) {
			const list = this.#activeByDataCentre.get(next.member.dataCentre) ?? [];
			this.#activeByDataCentre.set(next.member.dataCentre, [...list, next].toSorted((left, right) => left.key - right.key));
		}
	}

	#buildReadyByService(): Map<string, Member[]> {
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
function computeBucket(id: string): number {
	return hashText(id, 1) % bucketCount;
}
