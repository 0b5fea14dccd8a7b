/** Decides whether this node may serve: only under rules that are not older than what its VM applied before. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {PeerConfirmation} from '@ebonylead/peers/peer-confirmation.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type PeerAddress} from '@ebonylead/peers';
import {type SeedStore} from '@ebonylead/store/seeds.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type HeadWatcher} from './head-watcher.js';

/** What `Readiness` needs. */
export type ReadinessParts = {
	readonly peers: PeerNode;
	readonly watcher: HeadWatcher;
	readonly seeds: SeedStore;
	readonly applied: AppliedVersion;
	readonly configuredPeers: readonly PeerAddress[];
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

const retryPeriod = 500;
const maxJoinSeeds = 3;

/** Learns the newest version before this node serves, and again after a pause. */
export class Readiness {
	readonly #parts: ReadinessParts;
	readonly #confirmation: PeerConfirmation;
	#isReady = false;

	constructor(parts: ReadinessParts) {
		this.#parts = parts;
		this.#confirmation = new PeerConfirmation(parts);
	}

	/** Whether this node may serve. */
	get isReady(): boolean {
		return this.#isReady;
	}

	/** Stops serving until the version was learned anew. */
	reset(): void {
		this.#isReady = false;
	}

	/** Joins the other nodes, and tries to become ready until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock} = this.#parts;
		while (!signal.aborted) {
			if (!this.#isReady) {
				await this.#tryOnce().catch((error: unknown) => {
					this.#parts.log.warn(`Learning the newest version failed: ${describeError(error)}`);
				});
			}

			await clock.sleep(retryPeriod, signal);
		}
	}

	async #tryOnce(): Promise<void> {
		const {log, applied} = this.#parts;
		await this.#join();
		const isStoreRead = await this.#parts.watcher.poll();
		if (isStoreRead || await this.#confirmation.confirm()) {
			this.#isReady = true;
			log.info(`Serves with version ${applied.version}`);
		}
	}

	/** Gets the membership where only this node is known. */
	async #join(): Promise<void> {
		const {peers, configuredPeers, log} = this.#parts;
		if (peers.membership.activeCount > 1) {
			return;
		}

		let seeds: readonly PeerAddress[] = configuredPeers;
		try {
			seeds = [...seeds, ...await this.#parts.seeds.readAll()];
		} catch (error) {
			log.warn(`First peers can not be read: ${describeError(error)}`);
		}

		const others = seeds.filter(seed => seed.host !== peers.self.host || seed.peerPort !== peers.self.peerPort);
		await peers.join(this.#pickSome(others, maxJoinSeeds));
	}

	#pickSome<T>(items: readonly T[], count: number): T[] {
		const rest = [...items];
		return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(pickInteger(this.#parts.random, rest.length), 1)[0]!);
	}
}
