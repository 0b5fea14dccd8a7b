/** Processes the announcements of the local upstream, and publishes its state in this node's member record. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {UpstreamState} from '@ebonylead/peers/generated/peers.js';
import {AnnouncementOrder, type AnnouncementStamp} from '@ebonylead/upstreams/announcement-order.js';
import {buildIncarnationKey} from '@ebonylead/upstreams/upstream-notice.js';
import {announcementTimeoutMs, type LocalUpstream, type UpstreamStatus} from '@ebonylead/upstreams/local-upstream.js';
import {upstreamConditions} from '@ebonylead/upstreams/upstream-check.js';
import {type UpstreamAnnouncement} from '@ebonylead/upstreams/upstreams.js';
import {type MemberDirectory} from './member-directory.js';
import {type RecordedUpstream} from './member-row.js';
import {type UpstreamConfirmation} from './upstream-confirmation.js';

/** Dependencies of `AnnouncementHandler`. */
export type AnnouncementHandlerDependencies = {
	readonly localUpstream: LocalUpstream;
	readonly directory: MemberDirectory;
	readonly confirmation: UpstreamConfirmation;
	readonly clock: Clock;
	readonly log: Logger;
};

/** An announcement with the stamp that orders it. */
export type StampedAnnouncement = {
	readonly announcement: UpstreamAnnouncement;
	readonly stamp: AnnouncementStamp;
};

/** Timeout for writing the member record before the announcement of a leaving upstream is acknowledged. Upstreams wait for the acknowledgement for one second. */
const leaveWriteTimeoutMs = 600;

/** State of an upstream in the member record, by the state of the local upstream. */
export const upstreamStates = {absent: UpstreamState.ABSENT, ready: UpstreamState.READY, draining: UpstreamState.DRAINING} as const;

/**
 * Applies announcements in order, and ignores those that are out of date.
 *
 * When an upstream leaves, this node stops admitting calls to it before it
 * acknowledges the announcement. From then on the upstream gets no more calls,
 * even if other nodes learn of its leaving late. A later process of this node
 * learns of it from the row, or else from the upstream itself: it uses none of
 * before its own start that does not confirm that it stays. As long as there is
 * no configuration, and so no path to ask it on, it is not used.
 */
export class AnnouncementHandler {
	readonly #localUpstream: LocalUpstream;
	readonly #directory: MemberDirectory;
	readonly #confirmation: UpstreamConfirmation;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #order = new AnnouncementOrder();
	#newest: RecordedUpstream | undefined;

	/** The upstream process that was last applied to `#localUpstream`; another one than the newest as long as that is unconfirmed. */
	#used: RecordedUpstream | undefined;

	/** The upstream process that the row of this node names, or is about to. */
	#recorded: AnnouncementStamp | undefined;

	/** Monotonic time in milliseconds at which the newest announcement arrived, or the row was read. */
	#newestAt = 0;

	/** Whether the newest upstream process is not used before it is confirmed. */
	#isUnconfirmed = false;

	constructor({localUpstream, directory, confirmation, clock, log}: AnnouncementHandlerDependencies) {
		this.#localUpstream = localUpstream;
		this.#directory = directory;
		this.#confirmation = confirmation;
		this.#clock = clock;
		this.#log = log;
	}

	/** Handles an announcement; resolves when it may be acknowledged. */
	async handleAnnouncement({announcement, stamp}: StampedAnnouncement): Promise<void> {
		const known = this.#order.newest;
		if (!this.#order.accept(stamp)) {
			this.#log.info({stamp, known}, 'Ignored an out-of-date announcement');
			await this.#handleLateLeave({announcement, stamp});
			return;
		}

		const before = this.#localUpstream.status.value.state;
		this.#setNewest({announcement, stamp});
		this.#isUnconfirmed = announcement.state === 'ready' && this.#confirmation.isNeeded(stamp) && !this.#confirmation.recordAnnouncement(stamp);
		if (this.#isUnconfirmed) {
			void this.#confirmNewest();
			return;
		}

		this.#applyAnnouncement({announcement, stamp});
		if (announcement.state === 'draining' && before !== 'draining') {
			await this.#recordLeave({announcement, stamp});
		}
	}

	/**
	 * Restores the upstream that an earlier process of this node recorded.
	 *
	 * The upstream process may have ended in the meantime. This is harmless: each
	 * call names the process that must handle it, and a different one rejects it.
	 */
	restore({announcement, stamp, hasLeft = false}: RecordedUpstream, state: UpstreamState): void {
		// Its end may have been acknowledged before the row was read.
		const hasEnded = this.#order.hasEnded(stamp);
		// A heartbeat of the process may have been taken before the row was read.
		if (hasLeft || hasEnded) {
			this.#localUpstream.recordLeft(buildKey(stamp), 'the record of this node');
		}

		if (!hasEnded && !this.#order.accept(stamp)) {
			return;
		}

		if (state === UpstreamState.ABSENT || (hasEnded && this.#newest !== undefined)) {
			return;
		}

		this.#setNewest({announcement, stamp});
		this.#recorded = stamp;
		const isReady = state === UpstreamState.READY && !hasEnded && !hasLeft;
		this.#log.info({stamp, state, hasEnded}, 'Restored the upstream that an earlier process of this node recorded');
		this.#isUnconfirmed = isReady && this.#confirmation.isNeededForRecorded(stamp);
		if (this.#isUnconfirmed) {
			// The row stays as it is until the upstream answers.
			void this.#updateMember({...announcement, state: 'ready'}, 0, this.#newest);
			void this.#confirmNewest();
			return;
		}

		this.#applyAnnouncement({announcement: {...announcement, state: isReady ? 'ready' : 'draining'}, stamp});
	}

	/** Handles the message of an upstream process that it has ended or is about to end. */
	async handleEnd(instance: string, startedAt: number | undefined): Promise<void> {
		this.#order.recordEnd(instance, startedAt, this.#clock.wallTime());
		if (!await this.#applyLeave(instance, startedAt)) {
			this.#log.info({instance, startedAt, known: this.#newest?.stamp}, 'Ignored the end of an upstream process that is not in use');
		}
	}

	/** Handles that a version of the rules was applied: it may name the path on which an unconfirmed upstream can be asked. */
	handleRulesChange(): void {
		if (this.#isUnconfirmed) {
			void this.#confirmNewest();
		}
	}

	/** Writes each change of the upstream's state to this node's member record. */
	async run(): Promise<void> {
		await this.#localUpstream.status.observeChanges().skip(1).observe(status => {
			void this.#updateMember(status, 0, this.#used);
		});
	}

	/**
	 * Applies a leave to the processes that it ends: the one that it names, and
	 * earlier ones with its identity. Returns whether this node knows one of them.
	 */
	async #applyLeave(instance: string, startedAt: number | undefined): Promise<boolean> {
		const newest = this.#newest;
		if (newest && isEndedBy(newest.stamp, instance, startedAt)) {
			const leaving = buildLeaving(newest, startedAt);
			this.#isUnconfirmed = false;
			this.#setNewest(leaving);
			if (this.#localUpstream.instance === instance) {
				this.#localUpstream.drain();
				this.#used = leaving;
			} else {
				// It was not confirmed yet; its row must say that it leaves all the same.
				this.#applyAnnouncement(leaving);
			}

			this.#localUpstream.recordLeft(buildKey(leaving.stamp), 'the upstream');
			await this.#recordLeave(leaving);
			return true;
		}

		// While a newer process is unconfirmed, the one before it is still in use.
		const used = this.#used;
		if (used && isEndedBy(used.stamp, instance, startedAt)) {
			const leaving = buildLeaving(used, startedAt);
			this.#localUpstream.recordLeft(buildKey(leaving.stamp), 'the upstream');
			await this.#recordLeave(leaving);
			return true;
		}

		return false;
	}

	/** Applies the announcement of a process to the local upstream. The row follows the process, as the next process of this node compares leaves with it. */
	#applyAnnouncement(upstream: RecordedUpstream): void {
		this.#used = upstream;
		this.#localUpstream.applyAnnouncement(upstream.announcement);
		if (!isSameProcess(upstream.stamp, this.#recorded)) {
			void this.#updateMember(this.#localUpstream.status.value, 0, upstream);
		}
	}

	#setNewest(newest: RecordedUpstream): void {
		this.#newest = newest;
		this.#newestAt = this.#clock.now();
	}

	/** Asks the newest upstream process whether it leaves, and uses it if it says that it does not. */
	async #confirmNewest(): Promise<void> {
		const asked = this.#newest!;
		const condition = await this.#confirmation.ask(asked, () => this.#isAnswerWanted(asked.stamp));
		const {announcement, stamp} = this.#newest!;
		if (!isSameProcess(stamp, asked.stamp) || announcement.state !== 'ready' || this.#order.hasEnded(stamp)) {
			return;
		}

		if (condition === upstreamConditions.ready) {
			this.#isUnconfirmed = false;
			this.#applyAnnouncement({announcement, stamp});
		} else if (condition === upstreamConditions.notReady) {
			await this.#recordUnconfirmed(announcement);
		}
	}

	/** Returns whether a process is still unconfirmed, and has announced itself recently enough to be used. */
	#isAnswerWanted(asked: AnnouncementStamp): boolean {
		return this.#isUnconfirmed && isSameProcess(asked, this.#newest?.stamp) && this.#clock.now() - this.#newestAt <= announcementTimeoutMs;
	}

	/** Writes to the row of this node that its upstream is absent, unless the row says so or another upstream is in use. */
	async #recordUnconfirmed(announcement: UpstreamAnnouncement): Promise<void> {
		const isAbsent = this.#localUpstream.status.value.state === 'absent';
		if (isAbsent && this.#directory.self.upstreamState !== UpstreamState.ABSENT) {
			await this.#updateMember({...announcement, state: 'absent'}, 0, this.#newest);
		}
	}

	/** Acts on a leave although it is out of order: a leave is final. */
	async #handleLateLeave({announcement, stamp}: StampedAnnouncement): Promise<void> {
		// One without a start time is of another writer where the process has told its own.
		const isOfProcess = stamp.startedAt !== undefined || isSameProcess(stamp, this.#newest?.stamp);
		if (announcement.state === 'draining' && isOfProcess && !this.#localUpstream.hasProcessLeft(buildKey(stamp))) {
			await this.#applyLeave(stamp.instance, stamp.startedAt);
		}
	}

	/** Writes to the row of this node that the upstream leaves, if the store answers in time. */
	async #recordLeave(upstream: RecordedUpstream): Promise<void> {
		const isWritten = await this.#updateMember(this.#localUpstream.status.value, leaveWriteTimeoutMs, upstream);
		this.#log.info({stamp: upstream.stamp, isWritten}, 'Acknowledging that the upstream leaves');
	}

	async #updateMember({state, service, slots, version}: UpstreamStatus, timeout: number, upstream: RecordedUpstream | undefined): Promise<boolean> {
		this.#recorded = upstream?.stamp;
		const hasLeft = upstream !== undefined && this.#localUpstream.hasProcessLeft(buildKey(upstream.stamp));
		const changes = {upstreamState: upstreamStates[state], service, slots};
		return this.#directory.update(version === undefined ? changes : {...changes, upstreamVersion: version}, timeout, upstream && {...upstream, hasLeft});
	}
}

/** Returns whether a leave ends a process: it names the process, or a later one with the same identity, or no start time. */
function isEndedBy(known: AnnouncementStamp, instance: string, startedAt: number | undefined): boolean {
	return known.instance === instance && (startedAt === undefined || known.startedAt === undefined || startedAt >= known.startedAt);
}

/** Builds the record of the process that leaves from a known one with its identity. */
function buildLeaving({announcement, stamp}: RecordedUpstream, startedAt = stamp.startedAt): RecordedUpstream {
	return {announcement: {...announcement, startedAt, state: 'draining'}, stamp: {...stamp, startedAt}};
}

function buildKey({instance, startedAt}: AnnouncementStamp): string {
	return buildIncarnationKey(instance, startedAt);
}

function isSameProcess(stamp: AnnouncementStamp, other: AnnouncementStamp | undefined): boolean {
	return stamp.instance === other?.instance && stamp.startedAt === other.startedAt;
}
