/** Synchronises the membership with a table of the store that holds one row for each node. */
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type RowStore, type SharedRow} from '@ebonylead/store/row-store.js';
import {TableFollower} from '@ebonylead/store/table-follower.js';
import {type AnnouncementStamp} from '@ebonylead/upstreams/announcement-order.js';
import {type UpstreamAnnouncement} from '@ebonylead/upstreams/upstreams.js';

/** Dependencies of `MemberDirectory`. */
export type MemberDirectoryDependencies = {
	readonly store: RowStore;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly log: Logger;

	/** Record of this node at startup. */
	readonly self: Member;

	/** Called once, with what an earlier process of this node stored in its row; each undefined if it stored none. */
	readonly onRestored: (member: Member | undefined, upstream: RecordedUpstream | undefined) => void;
};

/** The local upstream of a node as stored in its row, from which a later process of the node restores it. */
export type RecordedUpstream = {
	readonly announcement: UpstreamAnnouncement;
	readonly stamp: AnnouncementStamp;
};

/** Content of a row. The row's key is the member's id, its revision the incarnation. */
type MemberRow = Omit<Member, 'id' | 'incarnation'> & {readonly upstream?: RecordedUpstream};

/** Name of the table of members. */
export const memberTable = 'members';

/** Minimum interval between two reads of changes, per member. As the interval grows with the number of members, all nodes together make at most 100 such reads per second until it reaches its maximum. */
const readIntervalPerMemberMs = 10;

/** Upper bound of that interval. Until a change is read, a call may be sent to a node that refuses it, which costs a detour over another node but nothing of the retry budget. */
const maxReadIntervalMs = 800;

/** Backoff after a failed write. It doubles with each consecutive failure, from twice the base up to the maximum. */
const backoffBaseMs = 50;
const maxBackoffMs = 800;

/**
 * Writes the record of this node when it changes, and merges the records of
 * other nodes into the membership.
 *
 * Each write is conditional on the revision that this node last saw, so that a
 * write whose response was lost can't overwrite a later one. A record's
 * incarnation is the revision of its row, which grows with each write.
 */
export class MemberDirectory {
	readonly #dependencies: MemberDirectoryDependencies;
	readonly #follower: TableFollower;
	#self: Member;
	#upstream: RecordedUpstream | undefined;

	/** Whether the row of this node was read; it must not be written before. */
	#isRestored = false;
	#lastWritten: Member | undefined;

	/** Revision of this node's row, on which the next write is conditional. */
	#revision = 0;
	readonly #writeWaiters: Array<() => void> = [];
	#wake: (() => void) | undefined;

	constructor(dependencies: MemberDirectoryDependencies) {
		this.#dependencies = dependencies;
		this.#self = dependencies.self;
		this.#follower = new TableFollower({
			store: dependencies.store,
			table: memberTable,
			clock: dependencies.clock,
			log: dependencies.log,
			getMinInterval: () => Math.min(maxReadIntervalMs, dependencies.membership.aliveCount * readIntervalPerMemberMs),
			onRows: (rows, isComplete) => {
				this.#mergeRows(rows, isComplete);
			},
		});
	}

	/** The latest record of this node; it may not be written yet. */
	get self(): Member {
		return this.#self;
	}

	/** Whether the table was read at least once. */
	get isLoaded(): boolean {
		return this.#follower.lastResponseAt > 0;
	}

	/** Whether the store is unavailable: the last read of the table failed. */
	get isUnavailable(): boolean {
		return this.#follower.isUnavailable;
	}

	/** Updates the record of this node. Resolves when the record has been written to the store, or after the timeout in milliseconds. */
	async update(changes: Partial<Member>, timeout: number, upstream?: RecordedUpstream): Promise<void> {
		this.#upstream = upstream ?? this.#upstream;
		this.#self = {...this.#self, ...changes};
		this.#mergeSelf();
		const done = new Promise<void>(resolve => {
			this.#writeWaiters.push(resolve);
		});
		this.#wake?.();
		const controller = new AbortController();
		await Promise.race([done, this.#dependencies.clock.sleep(timeout, controller.signal)]);
		controller.abort();
	}

	/** Follows the table and writes the row of this node until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		await Promise.all([this.#follower.run(signal), this.#writeChanges(signal)]);
	}

	async #writeChanges(signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			this.#wake?.();
		});
		let failures = 0;
		while (!signal.aborted) {
			if (this.#lastWritten === this.#self || !this.#isRestored) {
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
				continue;
			}

			try {
				await this.#writeRecord();
				failures = 0;
			} catch (error) {
				failures++;
				this.#dependencies.log.warn({failures, reason: describeError(error)}, 'Writing the record of this node failed');
				await this.#dependencies.clock.sleep(Math.min(maxBackoffMs, backoffBaseMs * (2 ** failures)), signal);
			}
		}
	}

	async #writeRecord(): Promise<void> {
		const record = this.#self;
		const isRemoval = record.state === MemberState.LEFT && record.upstreamState !== UpstreamState.READY;
		// A node that stops while its upstream is ready is expected to restart; its row is kept for the next process to restore.
		const value = isRemoval ? undefined : encodeMember(record, this.#upstream);
		const outcome = await this.#dependencies.store.writeRow(memberTable, record.id, value, this.#revision);
		this.#revision = outcome.revision;
		if (outcome.kind === 'conflict') {
			return;
		}

		this.#lastWritten = record;
		this.#dependencies.log.info({service: record.service, upstreamState: record.upstreamState, revision: outcome.revision}, 'Wrote the record of this node');
		this.#mergeSelf();
		if (this.#lastWritten === this.#self) {
			for (const resolve of this.#writeWaiters.splice(0)) {
				resolve();
			}
		}
	}

	/** Keeps this node in the membership with its latest record, whatever the store holds. */
	#mergeSelf(): void {
		const known = this.#dependencies.membership.findMember(this.#self.id);
		const incarnation = Math.max(this.#revision, (known?.incarnation ?? 0) + 1);
		this.#dependencies.membership.merge([{...this.#self, incarnation}], this.#dependencies.clock.now());
	}

	#mergeRows(rows: readonly SharedRow[], isComplete: boolean): void {
		const {membership, clock, log} = this.#dependencies;
		if (!this.#isRestored) {
			this.#restore(rows);
		}

		const records: Member[] = [];
		for (const row of rows) {
			if (row.key === this.#self.id) {
				continue;
			}

			const record = decodeMember(row, membership.findMember(row.key));
			if (record === undefined) {
				log.warn({key: row.key, revision: row.revision}, 'The record of a member is unreadable; keeping the last known one');
			} else {
				records.push(record);
			}
		}

		if (isComplete) {
			records.push(...this.#listRemoved(rows));
		}

		for (const record of membership.merge(records, clock.now())) {
			log.info({
				member: record.id, service: record.service, upstreamState: record.upstreamState, state: record.state, revision: record.incarnation,
			}, 'A member changed');
		}
	}

	/** Restores what an earlier process of this node stored in its row. Runs on the first rows read, before this process writes the row. */
	#restore(rows: readonly SharedRow[]): void {
		const row = rows.find(found => found.key === this.#self.id);
		const member = row && decodeMember(row, undefined);
		this.#revision = row?.revision ?? 0;
		this.#isRestored = true;
		this.#dependencies.onRestored(member, row && member && (JSON.parse(row.value!) as MemberRow).upstream);
		this.#wake?.();
	}

	/** Lists the alive members whose rows are missing from a complete read of the table, in state left. Their rows were removed while the change feed was not followed. */
	#listRemoved(rows: readonly SharedRow[]): Member[] {
		const keys = new Set(rows.map(row => row.key));
		return this.#dependencies.membership.listAll()
			.filter(member => member.id !== this.#self.id && member.state === MemberState.ALIVE && !keys.has(member.id))
			.map(member => ({...member, state: MemberState.LEFT}));
	}
}

/** Encodes a member record as the content of its row. */
export function encodeMember(member: Member, upstream?: RecordedUpstream): string {
	const {id: _id, incarnation: _incarnation, ...row} = member;
	return JSON.stringify({...row, upstream});
}

/** Decodes a row to a member record. A removed row becomes the known record in state left. Returns undefined if the row is unreadable, or removed and unknown. */
export function decodeMember(row: SharedRow, known: Member | undefined): Member | undefined {
	if (row.value === undefined) {
		return known && {...known, incarnation: row.revision, state: MemberState.LEFT};
	}

	try {
		const value = JSON.parse(row.value) as MemberRow;
		const isRecord = typeof value.host === 'string' && typeof value.service === 'string'
			&& Number.isSafeInteger(value.meshPort) && Number.isSafeInteger(value.slots);
		if (!isRecord) {
			return undefined;
		}

		const {upstream: _upstream, ...member} = value;
		return {...member, id: row.key, incarnation: row.revision};
	} catch {
		return undefined;
	}
}
