/** Fetches missing versions and members from a peer. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {type Member} from './generated/peers.js';
import {type Membership} from './membership.js';
import {formatAddress, type PeerAddress, type PeerTransport} from './peers.js';
import {readDeltaMessage, readSnapshotMessage} from './version-messages.js';

/** Dependencies of `CatchUp`. */
export type CatchUpDependencies = {
	readonly deployment: string;
	readonly activeVersion: ActiveVersion;
	readonly membership: Membership;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly log: Logger;

	/** Called with the records that changed the membership. */
	readonly onMembers: (members: readonly Member[]) => void;
};

/** Timeout of one transfer, in milliseconds. */
const transferTimeoutMs = 5000;

/** A version from which no node keeps deltas, so that the reply is the full snapshot. */
const noVersion = 0;

/** Fetches versions and members that this node does not have. */
export class CatchUp {
	readonly #dependencies: CatchUpDependencies;
	#ongoingFetch: Promise<void> | undefined;

	constructor(dependencies: CatchUpDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Fetches a peer's version, as deltas or as a snapshot, and makes it active. While a
	 * fetch runs, further calls wait for it, even if they name another peer.
	 *
	 * @throws StepError when the peer can't be reached.
	 */
	async fetchVersion(address: PeerAddress): Promise<void> {
		this.#ongoingFetch ??= this.#runFetch(address).finally(() => {
			this.#ongoingFetch = undefined;
		});
		await this.#ongoingFetch;
	}

	/**
	 * Reconciles the membership with a peer, in both directions.
	 *
	 * @throws StepError when the peer can't be reached.
	 */
	async syncMembers(address: PeerAddress): Promise<void> {
		const {deployment, membership, transport, clock, onMembers} = this.#dependencies;
		const {bucketHashes} = membership;
		const reply = await transport.sync(address, {deployment, bucketHashes, members: []}, transferTimeoutMs);
		const ownMembers = membership.listMembersInBuckets(reply.differingBuckets);
		onMembers(membership.merge(reply.members, clock.now()));
		if (ownMembers.length > 0) {
			await transport.sync(address, {deployment, bucketHashes, members: ownMembers}, transferTimeoutMs);
		}
	}

	async #runFetch(address: PeerAddress): Promise<void> {
		const {deployment, activeVersion, transport, log} = this.#dependencies;
		const reply = await transport.fetch(address, {deployment, haveVersion: activeVersion.version}, transferTimeoutMs);
		if (!activeVersion.applyDeltas(reply.deltas.map(delta => readDeltaMessage(delta)))) {
			log.warn(`Deltas from ${formatAddress(address)} could not be applied; fetching the full snapshot`);
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

		const {activeVersion, log} = this.#dependencies;
		readSnapshotMessage(message)
			.ifRight(encoded => activeVersion.apply(encoded))
			.ifLeft(reason => {
				log.error(`Rejected a snapshot from ${formatAddress(address)}: ${reason}`);
			});
	}
}
