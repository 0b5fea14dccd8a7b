/** Decides when a new process of a node may use an upstream that an earlier process may have known. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AnnouncementStamp} from '@ebonylead/upstreams/announcement-order.js';
import {upstreamConditions, type UpstreamCheck, type UpstreamCondition} from '@ebonylead/upstreams/upstream-check.js';
import {buildIncarnationKey} from '@ebonylead/upstreams/upstream-notice.js';
import {Counter, type Registry} from 'prom-client';
import {AnnouncementStreak} from './announcement-streak.js';
import {type RecordedUpstream} from './member-row.js';

/** Dependencies of `UpstreamConfirmation`. */
export type UpstreamConfirmationDependencies = {
	/** Undefined where upstreams can't be asked; then each counts as confirmed. */
	readonly check: UpstreamCheck | undefined;
	readonly registry: Registry;
	readonly clock: Clock;
	readonly log: Logger;
};

/** By how much the clocks of a node and its upstream may differ when their starts are compared, in milliseconds. */
const clockToleranceMs = 5000;

/** Interval in milliseconds before an upstream that has not answered is asked again. It doubles with each question up to the maximum. */
const initialRetryIntervalMs = 250;
const maxRetryIntervalMs = 1000;

/**
 * Finds out whether upstream processes stay.
 *
 * An earlier process of this node may have acknowledged that an upstream leaves,
 * and ended before the store had it. Neither the row of the node nor a heartbeat
 * that arrives late shows that, but the upstream itself does: it says so when it
 * is asked, and it sends no further heartbeats.
 */
export class UpstreamConfirmation {
	readonly #check: UpstreamCheck | undefined;
	readonly #clock: Clock;
	readonly #log: Logger;
	readonly #checks: Counter;
	readonly #startedAt: number;
	readonly #streak: AnnouncementStreak;
	readonly #confirmed = new Set<string>();

	/** Questions that wait for their answer, by upstream process. */
	readonly #pending = new Map<string, Promise<UpstreamCondition>>();

	constructor({check, registry, clock, log}: UpstreamConfirmationDependencies) {
		this.#check = check;
		this.#clock = clock;
		this.#log = log;
		this.#startedAt = clock.wallTime();
		this.#streak = new AnnouncementStreak(clock);
		this.#checks = new Counter({
			name: 'ebonylead_upstream_checks_total', help: 'Questions to the local upstream whether it leaves, by its answer.', labelNames: ['condition'], registers: [registry],
		});
	}

	/** Returns whether an upstream process must be asked before it is used that an earlier process of this node recorded. */
	isNeededForRecorded({instance, startedAt}: AnnouncementStamp): boolean {
		return this.#check !== undefined && instance !== '' && !this.#confirmed.has(buildIncarnationKey(instance, startedAt));
	}

	/** Returns whether an upstream process must be asked before it is used that announces itself. One that started after this process is known to no earlier one. */
	isNeeded(stamp: AnnouncementStamp): boolean {
		const mayBeKnown = stamp.startedAt === undefined || stamp.startedAt < this.#startedAt + clockToleranceMs;
		return mayBeKnown && this.isNeededForRecorded(stamp);
	}

	/** Records that an unconfirmed upstream process has announced itself; returns whether its announcements confirm it without an answer. */
	recordAnnouncement(stamp: AnnouncementStamp): boolean {
		const key = buildIncarnationKey(stamp.instance, stamp.startedAt);
		this.#streak.record(key);
		if (!this.#streak.isConclusive(key)) {
			return false;
		}

		this.#confirmed.add(key);
		this.#log.info({stamp}, 'Confirmed the upstream by its heartbeats, as it has not answered');
		return true;
	}

	/**
	 * Asks an upstream process until it answers; a question that is already pending is shared.
	 *
	 * @param isWanted Whether the answer still matters; if not, an upstream that has not answered is not asked again.
	 */
	async ask(upstream: RecordedUpstream, isWanted: () => boolean): Promise<UpstreamCondition> {
		const key = buildIncarnationKey(upstream.stamp.instance, upstream.stamp.startedAt);
		const question = this.#pending.get(key) ?? this.#askUntilAnswered(key, upstream, isWanted);
		this.#pending.set(key, question);
		return question;
	}

	async #askUntilAnswered(key: string, upstream: RecordedUpstream, isWanted: () => boolean): Promise<UpstreamCondition> {
		let interval = initialRetryIntervalMs;
		let condition = await this.#askOnce(upstream);
		while (condition === upstreamConditions.unanswered && isWanted()) {
			await this.#clock.sleep(interval);
			interval = Math.min(2 * interval, maxRetryIntervalMs);
			condition = isWanted() ? await this.#askOnce(upstream) : condition;
		}

		this.#pending.delete(key);
		if (condition === upstreamConditions.ready) {
			this.#confirmed.add(key);
		}

		return condition;
	}

	async #askOnce({announcement, stamp}: RecordedUpstream): Promise<UpstreamCondition> {
		const askedAt = this.#clock.now();
		const condition = await this.#check!.check(announcement);
		this.#checks.inc({condition});
		this.#log.info({stamp, condition, duration: Math.round(this.#clock.now() - askedAt)}, 'Asked the upstream whether it leaves');
		return condition;
	}
}
