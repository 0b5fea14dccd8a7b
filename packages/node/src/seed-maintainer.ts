/** Maintains the seeds of this node's data centre, through which starting nodes find their peers. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {runPeriodicTask} from '@ebonylead/base/periodic-task.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {rankLeaders} from '@ebonylead/peers/tree.js';
import {maxSeeds, type Seed, type SeedStore} from '@ebonylead/store/seeds.js';

const roundIntervalMs = 60_000;
const startupRoundIntervalMs = 700;

/** Number of rounds after startup in which every node joins seeds that it does not know. */
const startupRounds = 4;
const maxSeedsPerRound = 3;

/** Hash seed of the ranking by which the node that writes the seeds is chosen. */
const rankHashSeed = 0x5E_ED;

/** Dependencies of `SeedMaintainer`. */
export type SeedMaintainerDependencies = {
	readonly peers: PeerNode;
	readonly seeds: SeedStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

/**
 * Adds this node to the seeds unless their row is full, and joins seeds that are
 * not members yet. Such seeds are nodes that started at the same time, or belong
 * to a part of the deployment that formed a membership of its own.
 */
export class SeedMaintainer {
	readonly #dependencies: SeedMaintainerDependencies;
	#round = 0;

	constructor(dependencies: SeedMaintainerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, log} = this.#dependencies;
		await runPeriodicTask({
			name: 'Maintaining the seeds',
			clock,
			log,
			signal,
			chooseInterval: () => (this.#round < startupRounds ? startupRoundIntervalMs : roundIntervalMs) * (0.5 + random.next()),
			run: async () => this.#runRound(),
		});
	}

	/** After the startup rounds only the highest-ranked node of the data centre reads and writes the seeds, so that the load on the store does not grow with the number of nodes. */
	async #runRound(): Promise<void> {
		const {peers, seeds} = this.#dependencies;
		const {self, membership} = peers;
		if (this.#round === 0) {
			await seeds.add(self.dataCentre, buildSeed(self));
		}

		this.#round++;
		const ranked = rankLeaders(membership.listAlive(self.dataCentre), rankHashSeed).map(known => known.member);
		const isFirst = ranked[0]?.id === self.id;
		if (isFirst && this.#round > startupRounds) {
			await seeds.write(self.dataCentre, ranked.slice(0, maxSeeds).map(member => buildSeed(member)));
		}

		if (isFirst || this.#round <= startupRounds || membership.aliveCount === 1) {
			await this.#joinUnknownSeeds();
		}
	}

	async #joinUnknownSeeds(): Promise<void> {
		const {peers, seeds} = this.#dependencies;
		const all = await seeds.readAll();
		const unknown = all.filter(seed => peers.membership.findMember(seed.id) === undefined);
		if (unknown.length > 0) {
			await peers.join(unknown.slice(0, maxSeedsPerRound));
		}
	}
}

function buildSeed(member: Member): Seed {
	return {id: member.id, host: member.host, peerPort: member.peerPort};
}
