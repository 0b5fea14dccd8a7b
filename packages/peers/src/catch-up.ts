/** Brings a node that lags up to date from a peer. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type Member} from './generated/peers.js';
import {type Membership} from './membership.js';
import {formatAddress, type PeerAddress, type PeerTransport} from './peer-transport.js';
import {readDeltaMessage, readSnapshotMessage} from './version-messages.js';

/** What `CatchUp` needs. */
export type CatchUpParts = {
	readonly deployment: string;
	readonly applied: AppliedVersion;
	readonly membership: Membership;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly log: Logger;

	/** Called with the records that were new. */
	readonly onMembers: (members: readonly Member[]) => void;
};

/** Longest time of one transfer in milliseconds. */
const transferTimeoutMs = 5000;

/** A version that nobody keeps deltas from, so that the answer is the full snapshot. */
const noVersion = 0;

/** Fetches versions and members that this node does not have. */
export class CatchUp {
	readonly #parts: CatchUpParts;
	#fetching: Promise<void> | undefined;

	constructor(parts: CatchUpParts) {
		this.#parts = parts;
	}

	/**
	 * Fetches what leads to a peer's version; one transfer at a time.
	 *
	 * @throws StepError when the peer can't be reached.
	 */
	async fetchVersion(address: PeerAddress): Promise<void> {
		this.#fetching ??= this.#runFetch(address).finally(() => {
			this.#fetching = undefined;
		});
		await this.#fetching;
	}

	/**
	 * Reconciles the membership with a peer, in both directions.
	 *
	 * @throws StepError when the peer can't be reached.
	 */
	async syncMembers(address: PeerAddress): Promise<void> {
		const {deployment, membership, transport, clock, onMembers} = this.#parts;
		const {bucketHashes} = membership;
		const reply = await transport.sync(address, {deployment, bucketHashes, members: []}, transferTimeoutMs);
		const ownMembers = membership.listMembersInBuckets(reply.differingBuckets);
		onMembers(membership.merge(reply.members, clock.now()));
		if (ownMembers.length > 0) {
			await transport.sync(address, {deployment, bucketHashes, members: ownMembers}, transferTimeoutMs);
		}
	}

	async #runFetch(address: PeerAddress): Promise<void> {
		const {deployment, applied, transport, log} = this.#parts;
		const reply = await transport.fetch(address, {deployment, haveVersion: applied.version}, transferTimeoutMs);
		if (!applied.applyDeltas(reply.deltas.map(delta => readDeltaMessage(delta)))) {
			log.warn(`Deltas from ${formatAddress(address)} were refused; the snapshot is fetched in their place`);
			const full = await transport.fetch(address, {deployment, haveVersion: noVersion}, transferTimeoutMs);
			this.#applySnapshot(full.snapshot, address);
			return;
		}

		this.#applySnapshot(reply.snapshot, address);
	}

	#applySnapshot(message: Parameters<typeof readSnapshotMessage>[0] | undefined, address: PeerAddress): void {
		if (message === undefined) {
			return;
		}

		const {applied, log} = this.#parts;
		readSnapshotMessage(message)
			.ifRight(encoded => applied.apply(encoded))
			.ifLeft(reason => {
				log.error(`A snapshot from ${formatAddress(address)} was refused: ${reason}`);
			});
	}
}
