/** Polls the head on the platform, so that a version reaches this data centre even if the node that accepted it failed before it had sent it to all nodes. */
import {computeBackoff, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {rankLeaders} from '@ebonylead/peers/tree.js';
import {type VersionStore} from '@ebonylead/store/versions.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {computeDelta, type SnapshotDelta} from '@ebonylead/rules/snapshot-delta.js';

/** Dependencies of `HeadWatcher`. */
export type HeadWatcherDependencies = {
	readonly selfId: string;
	readonly dataCentre: string;
	readonly membership: Membership;
	readonly versions: VersionStore;
	readonly activeVersion: ActiveVersion;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Called with a version that was read, before it becomes active on this node. */
	readonly onVersion: (encoded: EncodedSnapshot, delta: SnapshotDelta) => Promise<void>;
};

/** Whether the platform responded to the last request. */
export type StoreHealth = 'up' | 'down' | 'unknown';

/** Number of watchers per data centre. Only they poll, so that the load on the platform grows with the number of data centres, not of nodes. */
const watchersPerDataCentre = 2;
const pollIntervalMs = 1000;
const maxBackoffMs = 10_000;

/** Hash seed of the ranking by which the watchers are chosen. */
const watcherHashSeed = 0x57_41;

/** Polls the head while this node is one of its data centre's watchers. */
export class HeadWatcher {
	readonly #dependencies: HeadWatcherDependencies;
	#health: StoreHealth = 'unknown';
	#failures = 0;

	constructor(dependencies: HeadWatcherDependencies) {
		this.#dependencies = dependencies;
	}

	/** Whether the platform responded to the last request. */
	get health(): StoreHealth {
		return this.#health;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random} = this.#dependencies;
		while (!signal.aborted) {
			const delay = this.#failures === 0
				? pollIntervalMs
				: pollIntervalMs + computeBackoff(random, this.#failures, pollIntervalMs, maxBackoffMs);
			await clock.sleep(delay, signal);
			if (!signal.aborted && this.isWatcher()) {
				await this.poll();
			}
		}
	}

	/** Returns whether this node is a watcher of its data centre, according to its current view of the membership. */
	isWatcher(): boolean {
		const {membership, dataCentre, selfId} = this.#dependencies;
		const ranked = rankLeaders(membership.listAlive(dataCentre), watcherHashSeed);
		return ranked.slice(0, watchersPerDataCentre).some(known => known.member.id === selfId);
	}

	/**
	 * Reads the head once, and applies it if it is newer.
	 *
	 * @returns Whether the platform responded.
	 */
	async poll(): Promise<boolean> {
		const {versions, activeVersion, onVersion, log} = this.#dependencies;
		try {
			const head = await versions.readHead();
			if (head.version > activeVersion.version) {
				const before = activeVersion.current.encoded.snapshot;
				const encoded = await versions.readSnapshot(head.digest);
				// Peers get the version before it becomes active here: a restarted process can then sync it from them while the platform is down.
				await onVersion(encoded, computeDelta(before, encoded));
				if (activeVersion.apply(encoded)) {
					log.info(`Applied version ${head.version} from the platform`);
				}
			}

			this.#recordResponse();
			return true;
		} catch (error) {
			this.#recordFailure(error);
			return false;
		}
	}

	#recordResponse(): void {
		if (this.#health === 'down') {
			this.#dependencies.log.info('The platform answers again');
		}

		this.#health = 'up';
		this.#failures = 0;
	}

	#recordFailure(error: unknown): void {
		this.#failures++;
		if (this.#health !== 'down') {
			this.#dependencies.log.warn(`The platform does not answer: ${describeError(error)}`);
		}

		this.#health = 'down';
	}
}
