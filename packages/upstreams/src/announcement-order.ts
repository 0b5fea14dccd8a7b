/** Tells current announcements from late ones. */

/** What orders the announcements of the upstream processes at one address. */
export type AnnouncementStamp = {
	/** Identity of the upstream process. */
	readonly instance: string;

	/** Start of the process in milliseconds since the Unix epoch, by its own clock; undefined where it is not told. */
	readonly startedAt: number | undefined;

	/** Grows with each announcement of one process. */
	readonly sequence: number;
};

/** How many ended processes are remembered; far more than can have announcements on their way. */
const maxEndedProcesses = 64;

/**
 * Decides whether an announcement is newer than all that were taken.
 *
 * Announcements may be held up and arrive after their sender has ended and
 * another process has started at the same address. A process may keep the
 * identity of the one before it; then its start time tells the two apart.
 */
export class AnnouncementOrder {
	#newest: AnnouncementStamp | undefined;
	readonly #endedProcesses = new Set<string>();

	/** The newest stamp that was taken. */
	get newest(): AnnouncementStamp | undefined {
		return this.#newest;
	}

	/** Returns whether the announcement is to be used, and takes note of it. */
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

	/** Notes that a process said that it is gone; its late announcements are set aside from now on. */
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
