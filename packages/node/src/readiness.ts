/** Decides whether this node may serve: only with rules that are not older than those that its VM applied before. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {PeerConfirmation} from '@ebonylead/peers/peer-confirmation.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type PeerAddress} from '@ebonylead/peers/peers.js';
import {type SeedStore} from '@ebonylead/store/seeds.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type HeadWatcher} from './head-watcher.js';

/** Dependencies of `Readiness`. */
export type ReadinessDependencies = {
	readonly peers: PeerNode;
	readonly watcher: HeadWatcher;
	readonly seeds: SeedStore;
	readonly applied: AppliedVersion;
	readonly configuredPeers: readonly PeerAddress[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

const retryIntervalMs = 500;
const maxJoinSeeds = 3;

/** Syncs the newest version before this node serves, and again after a pause of the process. */
export class Readiness {
	readonly #dependencies: ReadinessDependencies;
	readonly #confirmation: PeerConfirmation;
	#isReady = false;

	constructor(dependencies: ReadinessDependencies) {
		this.#dependencies = dependencies;
		this.#confirmation = new PeerConfirmation(dependencies);
	}

	/** Whether this node may serve. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Makes this node unready until the newest version is synced again. */
	reset(): void {
		this.#isReady = false;
	}

	/** Joins the other nodes, and tries to become ready until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#dependencies;
		while (!signal.aborted) {
			if (!this.#isReady) {
				await this.#syncOnce().catch((error: unknown) => {
					this.#dependencies.log.warn(`Syncing the newest version failed: ${describeError(error)}`);
				});
			}

			await clock.sleep(retryIntervalMs, signal);
		}
	}

	async #syncOnce(): Promise<void> {
		const {log, applied} = this.#dependencies;
		await this.#join();
		const isStoreRead = await this.#dependencies.watcher.poll();
		if (isStoreRead || await this.#confirmation.confirm()) {
			this.#isReady = true;
			log.info(`Serving with version ${applied.version}`);
		}
	}

	/** Joins through the configured and the stored seeds where this node knows no other member. */
	async #join(): Promise<void> {
		const {peers, configuredPeers, log} = this.#dependencies;
		if (peers.membership.activeCount > 1) {
			return;
		}

		let seeds: readonly PeerAddress[] = configuredPeers;
		try {
			seeds = [...seeds, ...await this.#dependencies.seeds.readAll()];
		} catch (error) {
			log.warn(`Reading the seeds failed: ${describeError(error)}`);
		}

		const others = seeds.filter(seed => seed.host !== peers.self.host || seed.peerPort !== peers.self.peerPort);
		await peers.join(this.#chooseSome(others, maxJoinSeeds));
	}

	#chooseSome<T>(items: readonly T[], count: number): T[] {
		const rest = [...items];
		return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(pickInteger(this.#dependencies.random, rest.length), 1)[0]!);
	}
}
