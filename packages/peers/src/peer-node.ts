/** Combines the parts of the peer protocol into one node. */
import {type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {type SnapshotDelta} from '@ebonylead/rules/snapshot-delta.js';
import {CatchUp} from './catch-up.js';
import {
	MemberState, type BeatReply, type BeatRequest, type CensusReply, type CensusRequest, type CrashRecord, type FetchReply, type FetchRequest, type Member,
	type ProbeReply, type ProbeRequest, type PushReply, type PushRequest, type SyncReply, type SyncRequest,
} from './generated/peers.js';
import {Heartbeats, type HeartbeatTimes} from './heartbeats.js';
import {Membership} from './membership.js';
import {Outbox} from './outbox.js';
import {buildOwnCensus, type CensusSources} from './own-census.js';
import {
	formatAddress, getAddress, type PeerAddress, type PeerHandlers, type PeerTransport,
} from './peers.js';
import {SelfRecord, type SelfChange} from './self-record.js';
import {PushTree, mergeCensusReplies} from './push-tree.js';
import {
	buildDeltaMessage, buildSnapshotMessage, decodeDelta, encodeDelta,
} from './version-messages.js';

/** Dependencies and settings of `PeerNode`. */
export type PeerNodeDependencies = CensusSources & {
	readonly deployment: string;
	readonly member: Member;
	readonly fanout: number;
	readonly times: HeartbeatTimes;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Called with the crashes of upstreams that other nodes report. */
	readonly onCrashRecords: (crashRecords: readonly CrashRecord[]) => void;

	/** Returns whether this node serves calls. */
	readonly isReady: () => boolean;

	/** Called when a newer process has taken over this identity. */
	readonly onReplaced: () => void;
};

/** The result of asking peers for their versions. */
export type VersionSync = {
	/** Number of ready peers that replied. */
	readonly replyCount: number;

	/** The highest active version of these peers, or of this identity as it reported it to them. */
	readonly version: number;
};

/** Timeout of a heartbeat that asks for a version, or that probes a member on behalf of another one, in milliseconds. */
const probeTimeoutMs = 800;

/** Handles requests of peers, distributes versions and membership changes, and monitors neighbours. */
export class PeerNode implements PeerHandlers {
	readonly membership = new Membership();
	readonly #dependencies: PeerNodeDependencies;
	readonly #self: SelfRecord;
	readonly #pushTree: PushTree;
	readonly #outbox: Outbox;
	readonly #catchUp: CatchUp;
	readonly #heartbeats: Heartbeats;

	/** The last accepted version that this node sent; peers may fetch it before this node applies it. */
	#pendingSnapshot: EncodedSnapshot | undefined;

	constructor(dependencies: PeerNodeDependencies) {
		const {
			deployment, member, fanout, activeVersion, transport, clock, random, log, times,
		} = dependencies;
		const {membership} = this;
		this.#dependencies = dependencies;
		this.#self = new SelfRecord(member);
		this.#pushTree = new PushTree({
			deployment, selfId: member.id, selfAddress: getAddress(member), dataCentre: member.dataCentre, fanout, membership, transport, clock, log,
		});
		this.#outbox = new Outbox(this.#pushTree, clock, log);
		const onMembers = (members: readonly Member[]) => {
			this.#handleNewRecords(members);
		};

		this.#catchUp = new CatchUp({
			deployment, activeVersion, membership, transport, clock, log, onMembers,
		});
		this.#heartbeats = new Heartbeats({
			deployment,
			self: this.#self,
			membership,
			activeVersion,
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
	 * Fetches the membership from the seeds; called once before `run`.
	 *
	 * @returns The number of seeds that replied.
	 */
	async join(seeds: readonly PeerAddress[]): Promise<number> {
		const results = await Promise.allSettled(seeds.map(async seed => this.#catchUp.syncMembers(seed)));
		for (const [index, result] of results.entries()) {
			if (result.status === 'rejected') {
				this.#dependencies.log.info(`Seed ${formatAddress(seeds[index]!)} did not reply: ${describeError(result.reason)}`);
			}
		}

		return results.filter(result => result.status === 'fulfilled').length;
	}

	/** Asks peers for their versions and for the version that this identity reported to them, and fetches the newest version of a peer. */
	async syncVersion(peers: readonly PeerAddress[]): Promise<VersionSync> {
		const {deployment, activeVersion, transport} = this.#dependencies;
		const request = {
			deployment, sender: this.#self.member, version: activeVersion.version, membershipHash: this.membership.hash,
		};
		const results = await Promise.allSettled(peers.map(async address => ({address, reply: await transport.beat(address, request, probeTimeoutMs)})));
		const replies = results.filter(result => result.status === 'fulfilled').map(result => result.value).filter(({reply}) => reply.isReady);
		const newest = replies.toSorted((left, right) => right.reply.version - left.reply.version)[0];
		if (newest && newest.reply.version > activeVersion.version) {
			await this.#fetchVersionFrom(newest.address);
		}

		return {
			replyCount: replies.length,
			version: Math.max(0, ...replies.map(({reply}) => Math.max(reply.version, reply.senderVersion))),
		};
	}

	/** Sends this node's record to all members, and runs heartbeats until the signal is aborted. */
	async run(signal: AbortSignal): Promise<void> {
		this.#outbox.add(this.#self.member);
		await this.#heartbeats.run(signal);
	}

	/** Updates this node's own record and sends it to all members. */
	updateSelf(change: SelfChange): void {
		this.#sendOwnRecord(this.#self.update(change));
	}

	/** Tells all members that this node is leaving; the first step of a planned stop. */
	async leave(): Promise<void> {
		this.updateSelf({state: MemberState.LEFT});
		await this.#outbox.flush();
	}

	/** Sends all members the requests that were in flight when an upstream crashed, or that have run without a crash since. */
	async sendCrashRecords(crashRecords: readonly CrashRecord[]): Promise<PushReply> {
		return this.#pushTree.sendToAll({versionDelta: new Uint8Array(0), members: [], crashRecords});
	}

	/**
	 * Sends an accepted version to all data centres; called before this node
	 * applies it.
	 */
	async sendVersion(encoded: EncodedSnapshot, delta: SnapshotDelta): Promise<PushReply> {
		this.#pendingSnapshot = encoded;
		return this.#pushTree.sendToAll({versionDelta: encodeDelta(delta), members: [], crashRecords: []});
	}

	/** Like `sendVersion`, but only to this node's data centre. */
	async sendVersionLocally(encoded: EncodedSnapshot, delta: SnapshotDelta): Promise<PushReply> {
		this.#pendingSnapshot = encoded;
		return this.#pushTree.sendToDataCentre({versionDelta: encodeDelta(delta), members: [], crashRecords: []});
	}

	/** Counts the active versions of all members, including this node. */
	async fetchCensus(includeCalls = false): Promise<CensusReply> {
		const {version} = this.#dependencies.activeVersion;
		const others = await this.#pushTree.fetchCensus(version, includeCalls);
		return mergeCensusReplies([others, buildOwnCensus(this.#self.member, this.#dependencies, version, includeCalls)]);
	}

	async push(request: PushRequest): Promise<PushReply> {
		if (request.versionDelta.length > 0) {
			await this.#receiveDelta(request);
		}

		this.#handleNewRecords(this.membership.merge(request.members, this.#dependencies.clock.now()));
		if (request.crashRecords.length > 0) {
			this.#dependencies.onCrashRecords(request.crashRecords);
		}

		if (request.range === undefined) {
			return {reached: 1, unreached: [], unreachedCount: 0};
		}

		const subtree = await this.#pushTree.sendToRange(request.range, {versionDelta: request.versionDelta, members: request.members, crashRecords: request.crashRecords}, request.ancestors);
		return {...subtree, reached: subtree.reached + 1};
	}

	async beat(request: BeatRequest): Promise<BeatReply> {
		const {activeVersion, clock, isReady} = this.#dependencies;
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
			version: activeVersion.version,
			membershipHash: this.membership.hash,
			recordOfSender: record,
			senderVersion,
			isReady: isReady(),
		};
	}

	async fetch(request: FetchRequest): Promise<FetchReply> {
		const {activeVersion} = this.#dependencies;
		// A peer that can't apply the delta of a push fetches the snapshot from its sender, which sends a version before applying it.
		if (this.#pendingSnapshot && this.#pendingSnapshot.snapshot.version > Math.max(activeVersion.version, request.haveVersion)) {
			return {deltas: [], snapshot: buildSnapshotMessage(this.#pendingSnapshot)};
		}

		if (request.haveVersion >= activeVersion.version) {
			return {deltas: [], snapshot: undefined};
		}

		const deltas = request.haveVersion === 0 ? undefined : activeVersion.findDeltas(request.haveVersion);
		return deltas === undefined
			? {deltas: [], snapshot: buildSnapshotMessage(activeVersion.current.encoded)}
			: {deltas: deltas.map(delta => buildDeltaMessage(delta)), snapshot: undefined};
	}

	async sync(request: SyncRequest): Promise<SyncReply> {
		const {clock} = this.#dependencies;
		if (request.members.length > 0) {
			this.#handleNewRecords(this.membership.merge(request.members, clock.now()));
			return {differingBuckets: [], members: []};
		}

		const ownHashes = this.membership.bucketHashes;
		const differing = ownHashes.map((_, index) => index).filter(index => ownHashes[index] !== request.bucketHashes[index]);
		return {differingBuckets: differing, members: this.membership.listMembersInBuckets(differing)};
	}

	async probe(request: ProbeRequest): Promise<ProbeReply> {
		const {deployment, activeVersion, transport} = this.#dependencies;
		try {
			await transport.beat({host: request.host, peerPort: request.port}, {
				deployment, sender: this.#self.member, version: activeVersion.version, membershipHash: this.membership.hash,
			}, probeTimeoutMs);
			return {isReached: true};
		} catch {
			return {isReached: false};
		}
	}

	async census(request: CensusRequest): Promise<CensusReply> {
		const self = buildOwnCensus(this.#self.member, this.#dependencies, request.expectedVersion, request.withCalls);
		if (request.range === undefined) {
			return self;
		}

		return mergeCensusReplies([self, await this.#pushTree.fetchCensusOfRange(request.range, {...request, includeCalls: request.withCalls})]);
	}

	/** Fetches a version, and logs a failure instead of throwing: the peer may be gone by now, and the caller retries. */
	async #fetchVersionFrom(address: PeerAddress): Promise<void> {
		try {
			await this.#catchUp.fetchVersion(address);
		} catch (error) {
			this.#dependencies.log.info(`Catching up from ${formatAddress(address)} failed: ${describeError(error)}`);
		}
	}

	/** Applies a pushed delta; if that fails (it starts from another version, or gives another digest), fetches what is missing from the sender. */
	async #receiveDelta(request: PushRequest): Promise<void> {
		const {activeVersion, log} = this.#dependencies;
		const delta = decodeDelta(request.versionDelta);
		if (activeVersion.applyDelta(delta)) {
			return;
		}

		await this.#catchUp.fetchVersion({host: request.senderHost, peerPort: request.senderPort});
		if (activeVersion.version < delta.toVersion) {
			log.warn(`Version ${delta.toVersion} could be applied neither from its push nor from the sender; the active version is ${activeVersion.version}`);
			throw new Error(`version ${delta.toVersion} could not be applied`);
		}
	}

	/** Handles records that changed the membership. */
	#handleNewRecords(members: readonly Member[]): void {
		for (const member of members) {
			if (member.id === this.#self.member.id) {
				this.#handleRecordOfSelf(member);
			}
		}
	}

	#handleRecordOfSelf(record: Member): void {
		if (this.#self.isReplacedBy(record)) {
			this.#dependencies.onReplaced();
			return;
		}

		const refutation = this.#self.refute(record);
		if (refutation) {
			this.#dependencies.log.info(`Refuting a record of this node in state ${MemberState[record.state]}`);
			this.#sendOwnRecord(refutation);
		}
	}

	#sendOwnRecord(record: Member): void {
		this.membership.merge([record], this.#dependencies.clock.now());
		this.#outbox.add(record);
	}
}
