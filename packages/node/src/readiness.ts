/** Decides whether this node may serve: only under rules that are not older than what its VM applied before. */
import {pickInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState} from '@ebonylead/peers/generated/peers.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {getAddress, type PeerAddress} from '@ebonylead/peers/peers.js';
import {type SeedStore} from '@ebonylead/platform/seeds.js';
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

/** Peers that must answer where the platform does not. */
const neededAnswers = 3;
const askedNeighbours = 4;
const askedOthers = 4;
const maxJoinSeeds = 3;

/** Learns the newest version before this node serves, and again after a pause. */
export class Readiness {
	readonly #parts: ReadinessParts;
	#isReady = false;

	constructor(parts: ReadinessParts) {
		this.#parts = parts;
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
				await this.#tryOnce();
			}

			await clock.sleep(retryPeriod, signal);
		}
	}

	async #tryOnce(): Promise<void> {
		const {log, applied} = this.#parts;
		await this.#join();
		const isStoreRead = await this.#parts.watcher.poll();
		if (isStoreRead || await this.#isConfirmedByPeers()) {
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

	/**
	 * Asks those who would know: the neighbours on the ring heard what this
	 * identity applied before, and any ready peer knows a version that was in force.
	 */
	async #isConfirmedByPeers(): Promise<boolean> {
		const {peers, applied, log} = this.#parts;
		const candidates = this.#listAsked();
		const learned = await peers.learnVersion(candidates);
		const needed = Math.min(neededAnswers, Math.max(1, peers.membership.activeCount - 1));
		if (learned.answers < needed) {
			log.warn(`Does not serve: the platform is down and ${learned.answers} of ${needed} needed peers answered`);
			return false;
		}

		return applied.version >= learned.version;
	}

	#listAsked(): PeerAddress[] {
		const {peers} = this.#parts;
		const ring = peers.membership.listActive(peers.self.dataCentre).filter(known => known.member.id !== peers.self.id);
		const position = ring.findIndex(known => known.key > (peers.membership.listActive(peers.self.dataCentre).find(own => own.member.id === peers.self.id)?.key ?? 0));
		const start = position === -1 ? 0 : position;
		const neighbours = Array.from({length: Math.min(askedNeighbours, ring.length)}, (_, index) =>
			ring[(start - (askedNeighbours / 2) + index + (ring.length * 2)) % ring.length]!.member);
		const others = peers.membership.listAll().filter(member =>
			member.state === MemberState.ALIVE && member.id !== peers.self.id && !neighbours.includes(member));
		return [...neighbours, ...this.#pickSome(others, askedOthers)].map(member => getAddress(member));
	}

	#pickSome<T>(items: readonly T[], count: number): T[] {
		const rest = [...items];
		return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(pickInteger(this.#parts.random, rest.length), 1)[0]!);
	}
}
