/** The part of a node that speaks with the other nodes. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {type SnapshotDelta} from '@ebonylead/rules/snapshot-delta.js';
import {CatchUp} from './catch-up.js';
import {
	MemberState, type BeatReply, type BeatRequest, type CensusReply, type CensusRequest, type FetchReply, type FetchRequest, type Member,
	type ProbeReply, type ProbeRequest, type PushReply, type PushRequest, type Suspect, type SyncReply, type SyncRequest,
} from './generated/peers.js';
import {Heartbeats, type HeartbeatTimes} from './heartbeats.js';
import {Membership} from './membership.js';
import {Outbox} from './outbox.js';
import {buildOwnCensus, type CensusSources} from './own-census.js';
import {
	formatAddress, getAddress, type PeerAddress, type PeerHandlers, type PeerTransport,
} from './peer-transport.js';
import {SelfRecord, type SelfChange} from './self-record.js';
import {PushTree, mergeCensusReplies} from './push-tree.js';
import {
	buildDeltaMessage, buildSnapshotMessage, decodeDelta, encodeDelta,
} from './version-messages.js';

/** What `PeerNode` needs. */
export type PeerNodeParts = CensusSources & {
	readonly deployment: string;
	readonly member: Member;
	readonly fanout: number;
	readonly times: HeartbeatTimes;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Called with the suspects that other nodes found. */
	readonly onSuspects: (suspects: readonly Suspect[]) => void;

	/** Says whether this node serves calls. */
	readonly isReady: () => boolean;

	/** Called when a newer process took over this identity. */
	readonly onReplaced: () => void;
};

/** What a node learned from its peers before it serves. */
export type VersionSync = {
	/** Count of peers that answered. */
	readonly replyCount: number;

	/** The highest version that any of them has, or heard this identity apply. */
	readonly version: number;
};

const probeTimeoutMs = 800;

/** Answers peers, spreads what this node learns, and watches its neighbours. */
export class PeerNode implements PeerHandlers {
	readonly membership = new Membership();
	readonly #parts: PeerNodeParts;
	readonly #self: SelfRecord;
	readonly #pushTree: PushTree;
	readonly #outbox: Outbox;
	readonly #catchUp: CatchUp;
	readonly #heartbeats: Heartbeats;
	#pendingSnapshot: EncodedSnapshot | undefined;

	constructor(parts: PeerNodeParts) {
		const {
			deployment, member, fanout, applied, transport, clock, random, log, times,
		} = parts;
		const {membership} = this;
		this.#parts = parts;
		this.#self = new SelfRecord(member);
		this.#pushTree = new PushTree({
			deployment, selfId: member.id, selfAddress: getAddress(member), dataCentre: member.dataCentre, fanout, membership, transport, clock, log,
		});
		this.#outbox = new Outbox(this.#pushTree, clock, log);
		const onMembers = (members: readonly Member[]) => {
			this.#handleNewRecords(members);
		};

		this.#catchUp = new CatchUp({
			deployment, applied, membership, transport, clock, log, onMembers,
		});
		this.#heartbeats = new Heartbeats({
			deployment,
			self: this.#self,
			membership,
			applied,
			transport,
			catchUp: this.#catchUp,
			outbox: this.#outbox,
			clock,
			random,
			log,
			times,
			onRecordOfSelf: record => {
				this.#handleRecordOfSelf(record);
			},
		});
		membership.merge([member], clock.now());
	}

	/** Identities of the members that this node suspects. */
	get suspected(): string[] {
		return this.#heartbeats.suspected;
	}

	/** This node's own record. */
	get self(): Member {
		return this.#self.member;
	}

	/**
	 * Gets the membership from the first peers; called once before `run`.
	 *
	 * @returns Count of the peers that answered.
	 */
	async join(seeds: readonly PeerAddress[]): Promise<number> {
		const results = await Promise.allSettled(seeds.map(async seed => this.#catchUp.syncMembers(seed)));
		for (const [index, result] of results.entries()) {
			if (result.status === 'rejected') {
				this.#parts.log.info(`First peer ${formatAddress(seeds[index]!)} does not answer: ${describeError(result.reason)}`);
			}
		}

		return results.filter(result => result.status === 'fulfilled').length;
	}

	/** Asks peers for their versions and for what they heard this identity apply, and catches up. */
	async syncVersion(peers: readonly PeerAddress[]): Promise<VersionSync> {
		const {deployment, applied, transport} = this.#parts;
		const request = {
			deployment, sender: this.#self.member, version: applied.version, membershipHash: this.membership.hash,
		};
		const results = await Promise.allSettled(peers.map(async address => ({address, reply: await transport.beat(address, request, probeTimeoutMs)})));
		const replies = results.filter(result => result.status === 'fulfilled').map(result => result.value).filter(({reply}) => reply.isReady);
		const newest = replies.toSorted((left, right) => right.reply.version - left.reply.version)[0];
		if (newest && newest.reply.version > applied.version) {
			await this.#fetchVersionFrom(newest.address);
		}

		return {
			replyCount: replies.length,
			version: Math.max(0, ...replies.map(({reply}) => Math.max(reply.version, reply.senderVersion))),
		};
	}

	/** Tells all members that this node is here, and watches its neighbours until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.#outbox.add(this.#self.member);
		await this.#heartbeats.run(signal);
	}

	/** Changes this node's own record and tells all members. */
	updateSelf(change: SelfChange): void {
		this.#sendOwnRecord(this.#self.update(change));
	}

	/** Tells all members that this node leaves; called first in a planned stop. */
	async leave(): Promise<void> {
		this.updateSelf({state: MemberState.LEFT});
		await this.#outbox.flush();
	}

	/** Tells all members of requests that were in flight when an upstream died. */
	async sendSuspects(suspects: readonly Suspect[]): Promise<PushReply> {
		return this.#pushTree.sendToAll({versionDelta: new Uint8Array(0), members: [], suspects});
	}

	/**
	 * Spreads an accepted version to all data centres; called before this node
	 * puts it in force itself.
	 */
	async sendVersion(encoded: EncodedSnapshot, delta: SnapshotDelta): Promise<PushReply> {
		this.#pendingSnapshot = encoded;
		return this.#pushTree.sendToAll({versionDelta: encodeDelta(delta), members: [], suspects: []});
	}

	/** Spreads an accepted version to this node's data centre, as `spreadVersion` does. */
	async sendVersionLocally(encoded: EncodedSnapshot, delta: SnapshotDelta): Promise<PushReply> {
		this.#pendingSnapshot = encoded;
		return this.#pushTree.sendToDataCentre({versionDelta: encodeDelta(delta), members: [], suspects: []});
	}

	/** Counts the versions in force over all members, this node included. */
	async fetchCensus(includeCalls = false): Promise<CensusReply> {
		const {version} = this.#parts.applied;
		const others = await this.#pushTree.fetchCensus(version, includeCalls);
		return mergeCensusReplies([others, buildOwnCensus(this.#self.member, this.#parts, version, includeCalls)]);
	}

	async push(request: PushRequest): Promise<PushReply> {
		if (request.versionDelta.length > 0) {
			await this.#receiveDelta(request);
		}

		this.#handleNewRecords(this.membership.merge(request.members, this.#parts.clock.now()));
		if (request.suspects.length > 0) {
			this.#parts.onSuspects(request.suspects);
		}

		if (request.range === undefined) {
			return {reached: 1, unreached: [], unreachedCount: 0};
		}

		const subtree = await this.#pushTree.sendToRange(request.range, {versionDelta: request.versionDelta, members: request.members, suspects: request.suspects}, request.ancestors);
		return {...subtree, reached: subtree.reached + 1};
	}

	async beat(request: BeatRequest): Promise<BeatReply> {
		const {applied, clock, isReady} = this.#parts;
		const {sender} = request;
		let record: Member | undefined;
		let senderVersion = 0;
		if (sender) {
			senderVersion = this.membership.getReportedVersion(sender.id);
			this.#handleNewRecords(this.membership.merge([sender], clock.now()));
			this.membership.recordReportedVersion(sender.id, request.version);
			const known = this.membership.findMember(sender.id);
			record = known && (known.incarnation !== sender.incarnation || known.state !== sender.state) ? known : undefined;
		}

		return {
			id: this.#self.member.id,
			version: applied.version,
			membershipHash: this.membership.hash,
			recordOfSender: record,
			senderVersion,
			isReady: isReady(),
		};
	}

	async fetch(request: FetchRequest): Promise<FetchReply> {
		const {applied} = this.#parts;
		// Who can't use the delta of a push asks its sender, which has the version before it enforces it.
		if (this.#pendingSnapshot && this.#pendingSnapshot.snapshot.version > Math.max(applied.version, request.haveVersion)) {
			return {deltas: [], snapshot: buildSnapshotMessage(this.#pendingSnapshot)};
		}

		if (request.haveVersion >= applied.version) {
			return {deltas: [], snapshot: undefined};
		}

		const deltas = request.haveVersion === 0 ? undefined : applied.findDeltas(request.haveVersion);
		return deltas === undefined
			? {deltas: [], snapshot: buildSnapshotMessage(applied.current.encoded)}
			: {deltas: deltas.map(delta => buildDeltaMessage(delta)), snapshot: undefined};
	}

	async sync(request: SyncRequest): Promise<SyncReply> {
		const {clock} = this.#parts;
		if (request.members.length > 0) {
			this.#handleNewRecords(this.membership.merge(request.members, clock.now()));
			return {differingBuckets: [], members: []};
		}

		const ownHashes = this.membership.bucketHashes;
		const differing = ownHashes.map((_, index) => index).filter(index => ownHashes[index] !== request.bucketHashes[index]);
		return {differingBuckets: differing, members: this.membership.listMembersInBuckets(differing)};
	}

	async probe(request: ProbeRequest): Promise<ProbeReply> {
		const {deployment, applied, transport} = this.#parts;
		try {
			await transport.beat({host: request.host, peerPort: request.port}, {
				deployment, sender: this.#self.member, version: applied.version, membershipHash: this.membership.hash,
			}, probeTimeoutMs);
			return {isReached: true};
		} catch {
			return {isReached: false};
		}
	}

	async census(request: CensusRequest): Promise<CensusReply> {
		const self = buildOwnCensus(this.#self.member, this.#parts, request.expectedVersion, request.withCalls);
		if (request.range === undefined) {
			return self;
		}

		return mergeCensusReplies([self, await this.#pushTree.fetchCensusOfRange(request.range, {...request, includeCalls: request.withCalls})]);
	}

	/** A peer that goes away in between is no error: the caller asks again. */
	async #fetchVersionFrom(address: PeerAddress): Promise<void> {
		try {
			await this.#catchUp.fetchVersion(address);
		} catch (error) {
			this.#parts.log.info(`Catching up from ${formatAddress(address)} failed: ${describeError(error)}`);
		}
	}

	/** Applies a pushed delta; where it does not fit, fetches what is missing from the sender. */
	async #receiveDelta(request: PushRequest): Promise<void> {
		const {applied, log} = this.#parts;
		const delta = decodeDelta(request.versionDelta);
		if (applied.applyDelta(delta)) {
			return;
		}

		await this.#catchUp.fetchVersion({host: request.senderHost, peerPort: request.senderPort});
		if (applied.version < delta.toVersion) {
			log.warn(`Version ${delta.toVersion} did not come with its push; this node has version ${applied.version}`);
			throw new Error(`version ${delta.toVersion} could not be applied`);
		}
	}

	/** Reacts to records that were new to this node. */
	#handleNewRecords(members: readonly Member[]): void {
		for (const member of members) {
			if (member.id === this.#self.member.id) {
				this.#handleRecordOfSelf(member);
			}
		}
	}

	#handleRecordOfSelf(record: Member): void {
		if (this.#self.isReplacedBy(record)) {
			this.#parts.onReplaced();
			return;
		}

		const refutation = this.#self.refute(record);
		if (refutation) {
			this.#parts.log.info(`Refutes a record of itself in state ${MemberState[record.state]}`);
			this.#sendOwnRecord(refutation);
		}
	}

	#sendOwnRecord(record: Member): void {
		this.membership.merge([record], this.#parts.clock.now());
		this.#outbox.add(record);
	}
}
