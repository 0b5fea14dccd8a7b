/** Maintains the seeds of this node's data centre, through which starting nodes find their peers. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {runPeriodically} from '@ebonylead/base/running.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {rankLeaders} from '@ebonylead/peers/tree.js';
import {maxSeeds, type Seed, type SeedStore} from '@ebonylead/store/seeds.js';

const intervalMs = 60_000;
const startIntervalMs = 700;

/** Rounds after startup in which every node looks for seeds that it does not know. */
const startRounds = 4;
const maxSeedsPerRound = 3;
const rankHashSeed = 0x5E_ED;

/** Dependencies of `SeedKeeper`. */
export type SeedKeeperDependencies = {
	readonly peers: PeerNode;
	readonly seeds: SeedStore;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;
};

/**
 * Adds this node to the seeds where there is room, and joins seeds that it does
 * not know: nodes that started at the same time, or parts of the deployment that
 * formed separately.
 */
export class SeedKeeper {
	readonly #dependencies: SeedKeeperDependencies;
	#round = 0;

	constructor(dependencies: SeedKeeperDependencies) {
		this.#dependencies = dependencies;
	}

	/** Runs until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		const {clock, random, log} = this.#dependencies;
		await runPeriodically({
			name: 'Maintaining the seeds',
			clock,
			log,
			signal,
			pickDelay: () => (this.#round < startRounds ? startIntervalMs : intervalMs) * (0.5 + random.next()),
			run: async () => this.#runRound(),
		});
	}

	/** After the first rounds only the highest-ranked node of the data centre reads and writes, so that the store's load does not grow with nodes. */
	async #runRound(): Promise<void> {
		const {peers, seeds} = this.#dependencies;
		const {self, membership} = peers;
		if (this.#round === 0) {
			await seeds.add(self.dataCentre, buildSeed(self));
		}

		this.#round++;
		const ranked = rankLeaders(membership.listActive(self.dataCentre), rankHashSeed).map(known => known.member);
		const isFirst = ranked[0]?.id === self.id;
		if (isFirst && this.#round > startRounds) {
			await seeds.write(self.dataCentre, ranked.slice(0, maxSeeds).map(member => buildSeed(member)));
		}

		if (isFirst || this.#round <= startRounds || membership.activeCount === 1) {
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
