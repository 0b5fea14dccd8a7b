/** Remembers what the responses that this node passed on said of their upstreams. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {NamedLimit} from '@ebonylead/upstreams/named-limit.js';
import {decodeNotice, encodeNotice} from '@ebonylead/upstreams/upstream-notice.js';

/** What is known of the upstream process at one member. */
type KnownNotice = {
	readonly incarnation: string;
	readonly limit: NamedLimit;
	isLeaving: boolean;

	/** Monotonic time in milliseconds at which it became known that the upstream leaves. */
	leavingSince: number;

	/** Incarnation of the member record at that time; a later record may be that of another upstream. */
	memberIncarnation: number;
	updatedAt: number;
};

/** The end of an attempt, as far as it tells about the upstream. */
export type AttemptNotice = {
	/** Header of the response that names the upstream process; undefined if there was none. */
	readonly text: string | string[] | undefined;

	/** Whether the response is the upstream's own. A refusal by its sidecar does not show that a limit has ended. */
	readonly isFromUpstream: boolean;

	/** Monotonic time in milliseconds at which the attempt was sent. */
	readonly sentAt: number;
};

/**
 * Time in milliseconds for which an upstream that leaves is no candidate while
 * its member record stays the same. After it, an attempt shows whether another
 * upstream has taken its place; the sidecar refuses the attempt if not.
 */
const leavingExclusionMs = 5000;

/** Time in milliseconds after which knowledge that no response confirmed is dropped. */
const noticeTtlMs = 600_000;

/** Number of members from which on out-of-date knowledge is removed. */
const maxNotices = 1000;

/**
 * Keeps limits and leaves for this node itself, whatever becomes of the sidecar:
 * each attempt carries them, so that a sidecar that has restarted learns of them
 * before it admits the call.
 */
export class KnownNotices {
	readonly #clock: Clock;
	readonly #notices = new Map<string, KnownNotice>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records the end of an attempt at a member. */
	record(member: Member, {text, isFromUpstream, sentAt}: AttemptNotice): void {
		const now = this.#clock.now();
		const notice = decodeNotice(text);
		const known = this.#notices.get(member.id);
		if (notice === undefined) {
			this.#recordNoNotice(member.id, known, isFromUpstream, sentAt);
			return;
		}

		const current = known?.incarnation === notice.incarnation ? known : this.#add(member, notice.incarnation);
		current.updatedAt = now;
		if (isFromUpstream || notice.rateLimit !== undefined) {
			current.limit.record(notice.rateLimit, sentAt, now);
		}

		if (notice.isLeaving) {
			current.isLeaving = true;
			current.leavingSince = now;
			current.memberIncarnation = member.incarnation;
		}
	}

	/** Whether the upstream at a member has said that it leaves, and no other one can have taken its place yet. */
	isLeaving(member: Member): boolean {
		const known = this.#notices.get(member.id);
		return known !== undefined && known.isLeaving
			&& known.memberIncarnation === member.incarnation && this.#clock.now() - known.leavingSince < leavingExclusionMs;
	}

	/** Encodes what is known of the upstream at a member as a header value; undefined if that is nothing. */
	encode(id: string): string | undefined {
		const known = this.#notices.get(id);
		if (known === undefined || (known.limit.rate === undefined && !known.isLeaving)) {
			return undefined;
		}

		return encodeNotice({
			incarnation: known.incarnation, rateLimit: known.limit.rate, isLeaving: known.isLeaving, age: this.#clock.now() - known.limit.namedAt,
		});
	}

	/** Records a response without a notice: its sidecar knows of no limit and no leave. */
	#recordNoNotice(id: string, known: KnownNotice | undefined, isFromUpstream: boolean, sentAt: number): void {
		if (known === undefined || !isFromUpstream) {
			return;
		}

		known.limit.record(undefined, sentAt, this.#clock.now());
		// The attempt carried the leave, so the upstream that served it is another one.
		const isOther = known.isLeaving && sentAt > known.leavingSince;
		if (isOther || (!known.isLeaving && known.limit.rate === undefined)) {
			this.#notices.delete(id);
		}
	}

	#add(member: Member, incarnation: string): KnownNotice {
		const now = this.#clock.now();
		const notice: KnownNotice = {
			incarnation, limit: new NamedLimit(), isLeaving: false, leavingSince: now, memberIncarnation: member.incarnation, updatedAt: now,
		};
		this.#notices.set(member.id, notice);
		if (this.#notices.size > maxNotices) {
			this.#removeStale();
		}

		return notice;
	}

	#removeStale(): void {
		const limit = this.#clock.now() - noticeTtlMs;
		for (const [id, {updatedAt}] of this.#notices) {
			if (updatedAt < limit) {
				this.#notices.delete(id);
			}
		}
	}
}
