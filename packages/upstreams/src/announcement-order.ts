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

/** Maximum number of ended processes that are tracked; far more than can have announcements in transit. */
const maxEndedProcesses = 64;

/**
 * Decides whether an announcement is newer than all accepted ones.
 *
 * An announcement may be delayed and arrive after its sender has ended and
 * another process has started at the same address. A process may reuse the
 * identity of its predecessor; then the start time distinguishes the two.
 */
export class AnnouncementOrder {
	#newest: AnnouncementStamp | undefined;
	readonly #endedProcesses = new Set<string>();

	/** Stamp of the newest accepted announcement. */
	get newest(): AnnouncementStamp | undefined {
		return this.#newest;
	}

	/** Records the announcement as the newest and returns true, or returns false if it is outdated. */
	accept(stamp: AnnouncementStamp): boolean {
		if (this.#endedProcesses.has(buildProcessKey(stamp)) || (this.#newest && !isNewer(stamp, this.#newest))) {
			return false;
		}

		if (this.#newest && buildProcessKey(this.#newest) !== buildProcessKey(stamp)) {
			this.#addEndedProcess(buildProcessKey(this.#newest));
		}

		this.#newest = stamp;
		return true;
	}

	/** Records that a process has deregistered; its late announcements are not accepted. */
	recordEnd(instance: string, startedAt: number | undefined): void {
		const isNewest = this.#newest?.instance === instance;
		this.#addEndedProcess(buildProcessKey({instance, startedAt: startedAt ?? (isNewest ? this.#newest?.startedAt : undefined), sequence: 0}));
	}

	#addEndedProcess(key: string): void {
		this.#endedProcesses.add(key);
		for (const oldest of this.#endedProcesses) {
			if (this.#endedProcesses.size <= maxEndedProcesses) {
				return;
			}

			this.#endedProcesses.delete(oldest);
		}
	}
}

function buildProcessKey({instance, startedAt}: AnnouncementStamp): string {
	return `${instance} ${startedAt ?? ''}`;
}

function isNewer(stamp: AnnouncementStamp, newest: AnnouncementStamp): boolean {
	if (stamp.startedAt !== undefined && newest.startedAt !== undefined && stamp.startedAt !== newest.startedAt) {
		return stamp.startedAt > newest.startedAt;
	}

	return stamp.instance !== newest.instance || stamp.sequence > newest.sequence;
}
