/** Detects announcements that arrive out of order. */

/** Orders the announcements of the upstream processes at one address. */
export type AnnouncementStamp = {
	/** Identity of the upstream process. */
	readonly instance: string;

	/** Start time of the process in milliseconds since the Unix epoch, by its own clock; undefined if it was not announced. */
	readonly startedAt: number | undefined;

	/** Increases with each announcement of one process. */
	readonly sequence: number;
};

/** Maximum number of identities of which ended processes are remembered; far more than can have announcements in transit. */
const maxEndedInstances = 64;

/**
 * Decides whether an announcement is newer than all accepted ones.
 *
 * An announcement may be delayed and arrive after its sender has ended and
 * another process has started at the same address. A process may reuse the
 * identity of its predecessor; then the start time distinguishes the two, and the
 * end of one shows that all earlier ones have ended. Where a process tells its
 * start time, an announcement without one is of another writer, and not accepted.
 */
export class AnnouncementOrder {
	#newest: AnnouncementStamp | undefined;

	/** For each identity, the start time in milliseconds up to which its processes have ended; those without a start time have ended too. */
	readonly #endedUpTo = new Map<string, number>();

	/** Stamp of the newest accepted announcement. */
	get newest(): AnnouncementStamp | undefined {
		return this.#newest;
	}

	/** Records the announcement as the newest and returns true, or returns false if it is outdated. */
	accept(stamp: AnnouncementStamp): boolean {
		if (this.hasEnded(stamp) || (this.#newest && !isNewer(stamp, this.#newest))) {
			return false;
		}

		if (this.#newest && (this.#newest.instance !== stamp.instance || this.#newest.startedAt !== stamp.startedAt)) {
			this.#addEnded(this.#newest.instance, this.#newest.startedAt ?? Number.NEGATIVE_INFINITY);
		}

		this.#newest = stamp;
		return true;
	}

	/** Returns whether the process of an announcement, or a later one with its identity, has deregistered, or was followed by another one. */
	hasEnded({instance, startedAt}: AnnouncementStamp): boolean {
		const endedUpTo = this.#endedUpTo.get(instance);
		return endedUpTo !== undefined && (startedAt === undefined || startedAt <= endedUpTo);
	}

	/**
	 * Records that a process has deregistered; its late announcements are not accepted.
	 *
	 * @param startedAt Start time of the process; undefined if the message did not tell it.
	 * @param endedAt Time of day in milliseconds at which the message arrived. A process that started later is another one.
	 */
	recordEnd(instance: string, startedAt: number | undefined, endedAt: number): void {
		const knownStart = startedAt ?? (this.#newest?.instance === instance ? this.#newest.startedAt : undefined);
		this.#addEnded(instance, knownStart ?? endedAt);
	}

	#addEnded(instance: string, upTo: number): void {
		const before = this.#endedUpTo.get(instance) ?? Number.NEGATIVE_INFINITY;
		this.#endedUpTo.delete(instance);
		this.#endedUpTo.set(instance, Math.max(before, upTo));
		if (this.#endedUpTo.size > maxEndedInstances) {
			this.#endedUpTo.delete(this.#endedUpTo.keys().next().value!);
		}
	}
}

function isNewer(stamp: AnnouncementStamp, newest: AnnouncementStamp): boolean {
	if (stamp.startedAt === newest.startedAt) {
		return stamp.instance !== newest.instance || stamp.sequence > newest.sequence;
	}

	if (stamp.startedAt === undefined || newest.startedAt === undefined) {
		return newest.startedAt === undefined;
	}

	return stamp.startedAt > newest.startedAt;
}
