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

/** Maximum number of ended processes that are remembered; far more than can have announcements in transit. */
const maxEndedProcesses = 64;

/**
 * Decides whether an announcement is newer than all accepted ones.
 *
 * An announcement may be delayed and arrive after its sender has ended and
 * another process has started at the same address. A process may reuse the
 * identity of its predecessor; then the start time distinguishes the two. Where
 * a process tells its start time, an announcement without one is of another
 * writer, and not accepted.
 */
export class AnnouncementOrder {
	#newest: AnnouncementStamp | undefined;
	readonly #endedProcesses = new Set<string>();

	/** Identities of processes that ended without telling when they started, each with the time of day in milliseconds at which they did. A process that started later is another one. */
	readonly #endedInstances = new Map<string, number>();

	/** Stamp of the newest accepted announcement. */
	get newest(): AnnouncementStamp | undefined {
		return this.#newest;
	}

	/** Records the announcement as the newest and returns true, or returns false if it is outdated. */
	accept(stamp: AnnouncementStamp): boolean {
		if (this.hasEnded(stamp) || (this.#newest && !isNewer(stamp, this.#newest))) {
			return false;
		}

		if (this.#newest && buildProcessKey(this.#newest) !== buildProcessKey(stamp)) {
			this.#addEndedProcess(buildProcessKey(this.#newest));
		}

		this.#newest = stamp;
		return true;
	}

	/** Returns whether the process of an announcement has deregistered, or was followed by another one. */
	hasEnded(stamp: AnnouncementStamp): boolean {
		const endedAt = this.#endedInstances.get(stamp.instance);
		return this.#endedProcesses.has(buildProcessKey(stamp))
			|| (endedAt !== undefined && (stamp.startedAt === undefined || stamp.startedAt <= endedAt));
	}

	/**
	 * Records that a process has deregistered; its late announcements are not accepted.
	 *
	 * @param startedAt Start time of the process; undefined if the message did not tell it.
	 * @param endedAt Time of day in milliseconds at which the message arrived.
	 */
	recordEnd(instance: string, startedAt: number | undefined, endedAt: number): void {
		const knownStart = startedAt ?? (this.#newest?.instance === instance ? this.#newest.startedAt : undefined);
		if (knownStart === undefined) {
			this.#endedInstances.set(instance, endedAt);
			removeOldest(this.#endedInstances);
		} else {
			this.#addEndedProcess(buildProcessKey({instance, startedAt: knownStart, sequence: 0}));
		}
	}

	#addEndedProcess(key: string): void {
		this.#endedProcesses.add(key);
		removeOldest(this.#endedProcesses);
	}
}

/** Removes the entries that were added first, down to the maximum. */
function removeOldest(ended: Set<string> | Map<string, number>): void {
	for (const oldest of ended.keys()) {
		if (ended.size <= maxEndedProcesses) {
			return;
		}

		ended.delete(oldest);
	}
}

function buildProcessKey({instance, startedAt}: AnnouncementStamp): string {
	return `${instance} ${startedAt ?? ''}`;
}

function isNewer(stamp: AnnouncementStamp, newest: AnnouncementStamp): boolean {
	if (stamp.startedAt !== undefined && newest.startedAt !== undefined && stamp.startedAt !== newest.startedAt) {
		return stamp.startedAt > newest.startedAt;
	}

	if (stamp.instance === newest.instance && stamp.startedAt !== newest.startedAt) {
		return newest.startedAt === undefined;
	}

	return stamp.instance !== newest.instance || stamp.sequence > newest.sequence;
}
