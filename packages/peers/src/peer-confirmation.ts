/** Decides by peers alone whether a node may serve, where the platform can't tell the newest version. */
import {pickInteger, type Random} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {MemberState, type Member} from './generated/peers.js';
import {type PeerNode} from './peer-node.js';
import {getAddress, type PeerAddress} from './peer-transport.js';

/** What `PeerConfirmation` needs. */
export type PeerConfirmationParts = {
	readonly peers: PeerNode;
	readonly applied: AppliedVersion;
	readonly random: Random;
	readonly log: Logger;
};

/** Ready peers that must answer. */
const requiredReplies = 3;

/** Neighbours on the ring that are asked: half before this node, half after it. */
const neighbourCount = 4;
const randomPeerCount = 4;

/**
 * Asks those who would know: the neighbours on the ring heard what this
 * identity applied before, and any ready peer knows a version that was in force.
 */
export class PeerConfirmation {
	readonly #parts: PeerConfirmationParts;

	constructor(parts: PeerConfirmationParts) {
		this.#parts = parts;
	}

	/** Catches up from peers, and says whether this node has what they know of. */
	async confirm(): Promise<boolean> {
		const {peers, applied, log} = this.#parts;
		const sync = await peers.syncVersion(this.#choosePeers());
		const required = Math.min(requiredReplies, Math.max(1, peers.membership.activeCount - 1));
		if (sync.replyCount < required) {
			log.warn(`Does not serve: the platform is down and ${sync.replyCount} of ${required} needed peers answered`);
			return false;
		}

		return applied.version >= sync.version;
	}

	#choosePeers(): PeerAddress[] {
		const {peers} = this.#parts;
		const neighbours = this.#listNeighbours();
		const others = peers.membership.listAll().filter(member =>
			member.state === MemberState.ALIVE && member.id !== peers.self.id && !neighbours.includes(member));
		return [...neighbours, ...this.#chooseRandom(others, randomPeerCount)].map(member => getAddress(member));
	}

	#listNeighbours(): Member[] {
		const {peers} = this.#parts;
		const ring = peers.membership.listActive(peers.self.dataCentre).map(known => known.member);
		const ownIndex = ring.findIndex(member => member.id === peers.self.id);
		const half = neighbourCount / 2;
		const offsets = Array.from({length: neighbourCount}, (_, index) => index < half ? index - half : index - half + 1);
		const picked = offsets.map(offset => ring[(ownIndex + offset + (ring.length * neighbourCount)) % ring.length]!);
		return [...new Set(picked)].filter(member => member.id !== peers.self.id);
	}

	#chooseRandom<T>(items: readonly T[], count: number): T[] {
		const rest = [...items];
		return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(pickInteger(this.#parts.random, rest.length), 1)[0]!);
	}
}
