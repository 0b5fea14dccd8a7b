/** Synchronises the membership with a table of the store that holds one row for each node. */
import {type Clock} from '@ebonylead/base/base.js';
import {StepError, describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {type RowStore, type SharedRow} from '@ebonylead/store/row-store.js';
import {TableFollower} from '@ebonylead/store/table-follower.js';
import {
	buildIncarnation, decodeMember, decodeRecordedUpstream, encodeMember, type RecordedUpstream,
} from './member-row.js';

/** Dependencies of `MemberDirectory`. */
export type MemberDirectoryDependencies = {
	readonly store: RowStore;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly log: Logger;

	/** Returns the minimum interval between two reads of changes in milliseconds; undefined for the one that suits a node that reads beside all others. */
	readonly getReadInterval?: () => number | undefined;

	/** Record of this node at startup. */
	readonly self: Member;

	/** Called once, with what an earlier process of this node stored in its row; each undefined if it stored none. */
	readonly onRestored: (member: Member | undefined, upstream: RecordedUpstream | undefined) => void;
};

/** Name of the table of members. */
export const memberTable = 'members';

/** Minimum interval between two reads of changes, per member. As the interval grows with the number of members, all nodes together make at most 100 such reads per second until it reaches its maximum. */
const readIntervalPerMemberMs = 10;

/** Upper bound of that interval. Until a change is read, a call may be sent to a node that refuses it, which costs a detour over another node but nothing of the retry budget. */
const maxReadIntervalMs = 800;

/** Time that nodes have to write their rows again after the store was restored from a copy: 2 s, and the longest wait of a follower before it reads them. A member whose row is still missing then has left. */
const rewriteGraceMs = 2000 + maxReadIntervalMs;

/** Backoff after a failed write. It doubles with each consecutive failure, from twice the base up to the maximum. */
const backoffBaseMs = 50;
const maxBackoffMs = 800;

/**
 * Writes the record of this node when it changes, and merges the records of
 * other nodes into the membership.
 *
 * Each write is conditional on the revision that this node last saw, so that a
 * write whose response was lost can't overwrite a later one. A record's
 * incarnation is built from the revision of its row, which grows with each
 * write, and from the era of the store in which the row was written.
 *
 * A store that was restored from a copy has rows that are out of date, and lacks
 * others. Those out of date don't supersede what is known, as they keep the era in
 * which they were written. Each node writes its row again in the new era.
 */
export class MemberDirectory {
	readonly #dependencies: MemberDirectoryDependencies;
	readonly #follower: TableFollower;
	#self: Member;
	#upstream: RecordedUpstream | undefined;

	/** Whether the row of this node was read; it must not be written before. */
	#isRestored = false;
	#lastWritten: Member | undefined;

	/** Revision of this node's row, on which the next write is conditional, and the era of the store that has this revision. */
	#revision = 0;
	#era = 0;

	/** Era of the rows that were last read. */
	#readEra = 0;

	/** Members whose rows are missing since the store was restored from a copy, and the monotonic time in milliseconds until which they are taken to be alive. */
	#missing: Member[] = [];
	#graceEndsAt = 0;
	#signal: AbortSignal | undefined;
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
			getMinInterval: () => dependencies.getReadInterval?.() ?? Math.min(maxReadIntervalMs, dependencies.membership.aliveCount * readIntervalPerMemberMs),
			onRows: (rows, isComplete, era) => {
				this.#mergeRows(rows, isComplete, era);
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

	/** Updates the record of this node. Resolves when the record has been written to the store, or after the timeout in milliseconds; to whether it has been written. */
	async update(changes: Partial<Member>, timeout: number, upstream?: RecordedUpstream): Promise<boolean> {
		this.#upstream = upstream ?? this.#upstream;
		this.#self = {...this.#self, ...changes};
		this.#mergeSelf();
		let isWritten = false;
		const written = new Promise<void>(resolve => {
			this.#writeWaiters.push(() => {
				isWritten = true;
				resolve();
			});
		});
		this.#wake?.();
		const controller = new AbortController();
		await Promise.race([written, this.#dependencies.clock.sleep(timeout, controller.signal)]);
		controller.abort();
		return isWritten;
	}

	/** Follows the table and writes the row of this node until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.#signal = signal;
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
		const era = this.#era;
		// A node that stops beside a running upstream is expected to restart. The next process restores the row, so that it does not use an upstream that drains.
		const isRemoval = record.state === MemberState.LEFT && record.upstreamState === UpstreamState.ABSENT;
		const value = isRemoval ? undefined : encodeMember(record, this.#upstream, era);
		const outcome = await this.#dependencies.store.writeRow(memberTable, record.id, value, this.#revision);
		if (outcome.era < this.#era) {
			throw new StepError('write row', memberTable, `the outcome is of era ${outcome.era}, the store is in era ${this.#era}`);
		}

		this.#revision = outcome.revision;
		this.#era = outcome.era;
		// A row that names an earlier era would be taken for one of the copy from which the store was restored.
		if (outcome.kind === 'conflict' || outcome.era > era) {
			return;
		}

		this.#lastWritten = record;
		this.#dependencies.log.info({
			service: record.service, upstreamState: record.upstreamState, revision: outcome.revision, era,
		}, 'Wrote the record of this node');
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
		const incarnation = Math.max(buildIncarnation(this.#era, this.#revision), (known?.incarnation ?? 0) + 1);
		this.#dependencies.membership.merge([{...this.#self, incarnation}], this.#dependencies.clock.now());
	}

	#mergeRows(rows: readonly SharedRow[], isComplete: boolean, era: number): void {
		const {membership, log} = this.#dependencies;
		const isNewEra = this.#isRestored && era > this.#readEra;
		this.#readEra = era;
		if (!this.#isRestored) {
			this.#restore(rows, era);
		} else if (isNewEra) {
			this.#handleNewEra(rows, era);
		}

		const records: Member[] = [];
		for (const row of rows) {
			if (row.key === this.#self.id) {
				continue;
			}

			const record = decodeMember(row, era, membership.findMember(row.key));
			if (record === undefined) {
				log.warn({key: row.key, revision: row.revision}, 'The record of a member is unreadable; keeping the last known one');
			} else {
				records.push(record);
			}
		}

		if (isComplete) {
			records.push(...this.#listRemoved(rows));
		}

		this.#mergeRecords(records);
		if (isNewEra) {
			void this.#removeMissing(era);
		}
	}

	#mergeRecords(records: readonly Member[]): void {
		const {membership, clock, log} = this.#dependencies;
		for (const record of membership.merge(records, clock.now())) {
			log.info({
				member: record.id, service: record.service, upstreamState: record.upstreamState, version: record.upstreamVersion, state: record.state, incarnation: record.incarnation,
			}, 'A member changed');
		}
	}

	/** Restores what an earlier process of this node stored in its row. Runs on the first rows read, before this process writes the row. */
	#restore(rows: readonly SharedRow[], era: number): void {
		const row = rows.find(found => found.key === this.#self.id);
		const member = row && decodeMember(row, era, undefined);
		this.#revision = row?.revision ?? 0;
		this.#era = era;
		this.#isRestored = true;
		this.#dependencies.onRestored(member, row && member && decodeRecordedUpstream(row.value!, era));
		this.#wake?.();
	}

	/** Makes this node write its row again, on the condition of the revision that the restored store has for it. */
	#handleNewEra(rows: readonly SharedRow[], era: number): void {
		const {clock, log} = this.#dependencies;
		this.#graceEndsAt = clock.now() + rewriteGraceMs;
		// A write may have met the new era before.
		if (era > this.#era) {
			const revision = rows.find(found => found.key === this.#self.id)?.revision ?? 0;
			log.info({era, before: this.#era, revision}, 'Writing the record of this node again, as the store is in a new era');
			this.#era = era;
			this.#revision = revision;
			this.#lastWritten = undefined;
			this.#wake?.();
		}
	}

	/** Removes the members whose rows are still missing when their nodes had time to write them again. */
	async #removeMissing(era: number): Promise<void> {
		const {membership, clock} = this.#dependencies;
		const signal = this.#signal!;
		do {
			await clock.sleep(rewriteGraceMs, signal);
		} while (!signal.aborted && this.#follower.isUnavailable);

		if (!signal.aborted && this.#readEra === era) {
			// A record that was merged since has replaced the missing one.
			const removed = this.#missing.filter(member => membership.findMember(member.id) === member);
			this.#missing = [];
			this.#mergeRecords(removed.map(member => ({...member, state: MemberState.LEFT})));
		}
	}

	/** Lists the alive members whose rows are missing from a complete read of the table, in state left. Their rows were removed while the change feed was not followed. */
	#listRemoved(rows: readonly SharedRow[]): Member[] {
		const keys = new Set(rows.map(row => row.key));
		const missing = this.#dependencies.membership.listAll()
			.filter(member => member.id !== this.#self.id && member.state === MemberState.ALIVE && !keys.has(member.id));
		if (this.#dependencies.clock.now() < this.#graceEndsAt) {
			this.#missing = missing;
			return [];
		}

		return missing.map(member => ({...member, state: MemberState.LEFT}));
	}
}
