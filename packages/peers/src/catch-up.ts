/** Fetches missing versions and members from a peer. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type Member} from './generated/peers.js';
import {type Membership} from './membership.js';
import {formatAddress, type PeerAddress, type PeerTransport} from './peers.js';
import {readDeltaMessage, readSnapshotMessage} from './version-messages.js';

/** Dependencies of `CatchUp`. */
export type CatchUpDependencies = {
	readonly deployment: string;
	readonly applied: AppliedVersion;
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
	#fetching: Promise<void> | undefined;

	constructor(dependencies: CatchUpDependencies) {
		this.#dependencies = dependencies;
	}

	/**
	 * Fetches the deltas or the snapshot that lead to a peer's version; concurrent calls share
	 * one transfer, whichever peer it is from.
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
		const {deployment, applied, transport, log} = this.#dependencies;
		const reply = await transport.fetch(address, {deployment, haveVersion: applied.version}, transferTimeoutMs);
		if (!applied.applyDeltas(reply.deltas.map(delta => readDeltaMessage(delta)))) {
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

		const {applied, log} = this.#dependencies;
		readSnapshotMessage(message)
			.ifRight(encoded => applied.apply(encoded))
			.ifLeft(reason => {
				log.error(`Rejected a snapshot from ${formatAddress(address)}: ${reason}`);
			});
	}
}
