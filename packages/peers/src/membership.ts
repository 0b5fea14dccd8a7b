/** The member table: the latest known record of every node in the deployment. */
import {type Stream} from 'most';
import {hashText} from '@ebonylead/base/hash.js';
import {StateCell} from '@ebonylead/base/state-cell.js';
import {MemberState, UpstreamState, type Member} from './generated/peers.js';

/** Number of hash buckets that two nodes compare to find the members on which they differ. */
export const bucketCount = 64;

/** How long the record of a member that died or left is kept, in milliseconds. */
export const tombstoneTtlMs = 2 * 60 * 60 * 1000;

/** Size of the key space; keys are 32-bit hashes below this value. */
export const keySpaceSize = 0x1_00_00_00_00;

/** A member's record with the values that this node derives from it. */
export type KnownMember = {
	readonly member: Member;

	/** Position on the ring of its data centre: a hash of the identity. */
	readonly key: number;

	/** Local monotonic time of the last change, in milliseconds. */
	readonly changedAt: number;
};

/**
 * Table of members that merges the records of all nodes.
 *
 * A record supersedes another of the same identity if its incarnation is higher,
 * or if the incarnations are equal and its state comes later in the order alive,
 * dead, left. All nodes therefore converge to the same table, in whatever order records arrive.
 */
export class Membership {
	readonly #members = new Map<string, KnownMember>();
	readonly #aliveByDataCentre = new Map<string, KnownMember[]>();
	readonly #buckets = new Uint32Array(bucketCount);
	readonly #changes = new StateCell<number>(0);
	readonly #reportedVersions = new Map<string, number>();
	#readyByService: Map<string, Member[]> | undefined;

	/** Number of changes so far; caches compare it to detect a change. */
	get revision(): number {
		return this.#changes.value;
	}

	/** A hash over all members that are alive; nodes that know the same ones have the same hash. */
	get hash(): number {
		return this.#buckets.reduce((sum, bucket, index) => (sum + Math.imul(bucket, index + 1)) >>> 0, 0);
	}

	/** A hash for each bucket of members that are alive. */
	get bucketHashes(): number[] {
		return [...this.#buckets];
	}

	/** Number of members that are alive, including suspected ones. */
	get aliveCount(): number {
		return [...this.#aliveByDataCentre.values()].reduce((sum, members) => sum + members.length, 0);
	}

	/** Returns a stream of revisions, one for each change. */
	observeChanges(): Stream<number> {
		return this.#changes.observeChanges();
	}

	/** Finds a member by identity, whatever its state. */
	findMember(id: string): Member | undefined {
		return this.#members.get(id)?.member;
	}

	/** Finds the local monotonic time of a member's last change, in milliseconds. */
	findChangeTime(id: string): number | undefined {
		return this.#members.get(id)?.changedAt;
	}

	/** Lists all members, including those that died or left. */
	listAll(): Member[] {
		return [...this.#members.values()].map(known => known.member);
	}

	/** Lists the data centres with members that are alive, in alphabetic order. */
	listDataCentres(): string[] {
		return [...this.#aliveByDataCentre.entries()].filter(([, members]) => members.length > 0).map(([name]) => name).toSorted();
	}

	/** Lists the members of a data centre that are alive, in the order of their keys. */
	listAlive(dataCentre: string): readonly KnownMember[] {
		return this.#aliveByDataCentre.get(dataCentre) ?? [];
	}

	/** Lists the members that are alive and whose local upstream of a service is ready. */
	listReady(service: string): readonly Member[] {
		this.#readyByService ??= this.#buildReadyByService();
		return this.#readyByService.get(service) ?? [];
	}

	/** Lists the members in the given buckets, including those that died or left. */
	listMembersInBuckets(buckets: readonly number[]): Member[] {
		const bucketSet = new Set(buckets);
		return this.listAll().filter(member => bucketSet.has(computeBucket(member.id)));
	}

	/**
	 * Merges records into the table.
	 *
	 * @param now Local monotonic time in milliseconds.
	 * @returns The records that changed the table.
	 */
	merge(records: readonly Member[], now: number): Member[] {
		const accepted = records.filter(record => this.#mergeRecord(record, now));
		if (accepted.length > 0) {
			this.#readyByService = undefined;
			this.#changes.set(this.#changes.value + 1);
		}

		return accepted;
	}

	/** Removes members that died or left more than `tombstoneTtlMs` ago. */
	removeExpired(now: number): void {
		for (const [id, known] of this.#members) {
			if (known.member.state !== MemberState.ALIVE && now - known.changedAt > tombstoneTtlMs) {
				this.#members.delete(id);
				this.#reportedVersions.delete(id);
			}
		}
	}

	/** Records the active version that a member reported; the highest one is kept. */
	recordReportedVersion(id: string, version: number): void {
		if (version > (this.#reportedVersions.get(id) ?? 0)) {
			this.#reportedVersions.set(id, version);
		}
	}

	/** Returns the highest active version that a member reported, or 0 if it reported none. */
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
		this.#updateAlive(known, next);
		return true;
	}

	/** Adds a member that is alive to the hash of its bucket, or removes it; XOR does both. */
	#updateBucketHash(member: Member | undefined): void {
		if (member?.state === MemberState.ALIVE) {
			const bucket = computeBucket(member.id);
			const hash = hashText(`${member.id} ${member.incarnation} ${member.state}`);
			this.#buckets[bucket] = (this.#buckets[bucket]! ^ hash) >>> 0;
		}
	}

	#updateAlive(previous: KnownMember | undefined, next: KnownMember): void {
		if (previous) {
			const list = this.#aliveByDataCentre.get(previous.member.dataCentre) ?? [];
			this.#aliveByDataCentre.set(previous.member.dataCentre, list.filter(known => known.member.id !== next.member.id));
		}

		if (next.member.state === MemberState.ALIVE) {
			const list = this.#aliveByDataCentre.get(next.member.dataCentre) ?? [];
			this.#aliveByDataCentre.set(next.member.dataCentre, [...list, next].toSorted((left, right) => left.key - right.key));
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

/** Returns whether a record supersedes another of the same identity. */
export function isNewer(record: Member, known: Member): boolean {
	return record.incarnation > known.incarnation
		|| (record.incarnation === known.incarnation && record.state > known.state);
}

/** Computes the bucket of an identity. */
function computeBucket(id: string): number {
	return hashText(id, 1) % bucketCount;
}
