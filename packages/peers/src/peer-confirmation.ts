/** Decides from the replies of peers whether a node may serve while the platform, which knows the newest version, is unavailable. */
import {pickInteger, type Random} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {MemberState, type Member} from './generated/peers.js';
import {type PeerNode} from './peer-node.js';
import {getAddress, type PeerAddress} from './peers.js';

/** Dependencies of `PeerConfirmation`. */
export type PeerConfirmationDependencies = {
	readonly peers: PeerNode;
	readonly applied: AppliedVersion;
	readonly random: Random;
	readonly log: Logger;
};

/** Number of ready peers that must reply. */
const requiredReplies = 3;

/** Number of neighbours on the ring that are asked: half before this node, half after it. */
const neighbourCount = 4;

/** Number of other members, chosen at random, that are asked. */
const randomPeerCount = 4;

/**
 * Asks the neighbours on the ring, to whom this identity reported the versions
 * that it applied before a restart, and random members, as any ready peer has a
 * version that was active.
 */
export class PeerConfirmation {
	readonly #dependencies: PeerConfirmationDependencies;

	constructor(dependencies: PeerConfirmationDependencies) {
		this.#dependencies = dependencies;
	}

	/** Catches up from peers, and returns whether this node has the highest version that they reported. */
	async confirm(): Promise<boolean> {
		const {peers, applied, log} = this.#dependencies;
		const sync = await peers.syncVersion(this.#choosePeers());
		const required = Math.min(requiredReplies, Math.max(1, peers.membership.activeCount - 1));
		if (sync.replyCount < required) {
			log.warn(`Not serving: the platform is unavailable and ${sync.replyCount} of ${required} required peers replied`);
			return false;
		}

		return applied.version >= sync.version;
	}

	#choosePeers(): PeerAddress[] {
		const {peers} = this.#dependencies;
		const neighbours = this.#listNeighbours();
		const others = peers.membership.listAll().filter(member =>
			member.state === MemberState.ALIVE && member.id !== peers.self.id && !neighbours.includes(member));
		return [...neighbours, ...this.#chooseRandom(others, randomPeerCount)].map(member => getAddress(member));
	}

	#listNeighbours(): Member[] {
		const {peers} = this.#dependencies;
		const ring = peers.membership.listActive(peers.self.dataCentre).map(known => known.member);
		const ownIndex = ring.findIndex(member => member.id === peers.self.id);
		const half = neighbourCount / 2;
		const offsets = Array.from({length: neighbourCount}, (_, index) => index < half ? index - half : index - half + 1);
		const picked = offsets.map(offset => ring[(ownIndex + offset + (ring.length * neighbourCount)) % ring.length]!);
		return [...new Set(picked)].filter(member => member.id !== peers.self.id);
	}

	#chooseRandom<T>(items: readonly T[], count: number): T[] {
		const rest = [...items];
		return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(pickInteger(this.#dependencies.random, rest.length), 1)[0]!);
	}
}
