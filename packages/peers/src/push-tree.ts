/** Distributes versions and membership changes through a tree of pushes. */
import {Buffer} from 'node:buffer';
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {
	type CensusReply, type CrashRecord, type KeyRange, type Member, type PushReply, type RouteCalls,
} from './generated/peers.js';
import {type Membership} from './membership.js';
import {getAddress, type PeerAddress, type PeerTransport} from './peers.js';
import {
	countLevels, buildFullRange, listMembersInRange, rankLeaders, splitRange, type Branch,
} from './tree.js';

/** Content of a push: a version, members, crashes of upstreams, or several of these. */
export type PushContent = {
	/** An encoded `VersionDelta`; empty for none. */
	readonly versionDelta: Uint8Array;
	readonly members: readonly Member[];
	readonly crashRecords: readonly CrashRecord[];
};

/** Parameters of a census that this node starts or forwards. */
export type CensusScope = {
	/** Identities of the members above this node in the tree; the census is not sent to them. */
	readonly ancestors: readonly string[];

	/** Members with a lower version are listed as laggards. */
	readonly expectedVersion: number;

	/** Whether the replies include the calls of routes. */
	readonly includeCalls: boolean;
};

/** Dependencies and settings of `PushTree`. */
export type PushTreeDependencies = {
	readonly deployment: string;
	readonly selfId: string;
	readonly selfAddress: PeerAddress;
	readonly dataCentre: string;
	readonly fanout: number;
	readonly membership: Membership;
	readonly transport: PeerTransport;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Timeout of a request for each level of the tree that it passes, in milliseconds. */
const levelTimeoutMs = 700;

/** Maximum number of attempts for one branch, each with another candidate as its leader. */
const maxLeaderAttempts = 3;

/** Maximum number of members that a reply lists by name. */
const maxListedMembers = 100;

type SendRequest<Reply> = (branch: Branch, address: PeerAddress, timeout: number) => Promise<Reply>;

/** Splits a range into branches, and sends a request to one member of each, which forwards it to the rest of its branch. */
export class PushTree {
	readonly #dependencies: PushTreeDependencies;

	constructor(dependencies: PushTreeDependencies) {
		this.#dependencies = dependencies;
	}

	/** Sends content to all data centres, including this one. */
	async sendToAll(content: PushContent): Promise<PushReply> {
		const {membership, dataCentre} = this.#dependencies;
		const remote = membership.listDataCentres().filter(name => name !== dataCentre);
		const replies = await Promise.all([
			this.sendToRange(buildFullRange(dataCentre), content, []),
			...remote.map(async name => this.#sendToBranch(this.#buildRemoteBranch(name), content, [])),
		]);
		return mergePushReplies(replies);
	}

	/** Sends content to the other members of this node's data centre. */
	async sendToDataCentre(content: PushContent): Promise<PushReply> {
		return this.sendToRange(buildFullRange(this.#dependencies.dataCentre), content, []);
	}

	/** Sends content to the members of a range, except this node and those above it. */
	async sendToRange(range: KeyRange, content: PushContent, ancestors: readonly string[]): Promise<PushReply> {
		const branches = this.#splitRange(range, ancestors);
		return mergePushReplies(await Promise.all(branches.map(async branch => this.#sendToBranch(branch, content, ancestors))));
	}

	/** Counts the active versions in all data centres, except on this node. */
	async fetchCensus(expectedVersion: number, includeCalls: boolean): Promise<CensusReply> {
		const {membership, dataCentre} = this.#dependencies;
		const remote = membership.listDataCentres().filter(name => name !== dataCentre);
		const scope = {ancestors: [], expectedVersion, includeCalls};
		const replies = await Promise.all([
			this.fetchCensusOfRange(buildFullRange(dataCentre), scope),
			...remote.map(async name => this.#fetchCensusOfBranch(this.#buildRemoteBranch(name), scope)),
		]);
		return mergeCensusReplies(replies);
	}

	/** Counts the active versions of the members of a range, except this node and those above it. */
	async fetchCensusOfRange(range: KeyRange, scope: CensusScope): Promise<CensusReply> {
		const branches = this.#splitRange(range, scope.ancestors);
		return mergeCensusReplies(await Promise.all(branches.map(async branch => this.#fetchCensusOfBranch(branch, scope))));
	}

	#splitRange(range: KeyRange, ancestors: readonly string[]): Branch[] {
		const members = listMembersInRange(this.#dependencies.membership, range, [this.#dependencies.selfId, ...ancestors]);
		return splitRange(members, range, this.#dependencies.fanout);
	}

	#buildRemoteBranch(dataCentre: string): Branch {
		const range = buildFullRange(dataCentre);
		return {range, candidates: rankLeaders(listMembersInRange(this.#dependencies.membership, range, [this.#dependencies.selfId]), range.low)};
	}

	async #sendToBranch(branch: Branch, content: PushContent, ancestors: readonly string[]): Promise<PushReply> {
		const {deployment, selfId, selfAddress, transport} = this.#dependencies;
		const request = {
			deployment,
			senderHost: selfAddress.host,
			senderPort: selfAddress.peerPort,
			range: branch.range,
			versionDelta: Buffer.from(content.versionDelta),
			members: content.members as Member[],
			ancestors: [...ancestors, selfId],
			crashRecords: content.crashRecords as CrashRecord[],
		};
		const reply = await this.#sendToLeader('push', branch, async (_, address, timeout) => transport.push(address, request, timeout));
		if (reply) {
			return reply;
		}

		const names = branch.candidates.map(known => known.member.id);
		return {reached: 0, unreached: names.slice(0, maxListedMembers), unreachedCount: names.length};
	}

	async #fetchCensusOfBranch(branch: Branch, scope: CensusScope): Promise<CensusReply> {
		const {deployment, selfId, transport} = this.#dependencies;
		const request = {
			deployment, range: branch.range, expectedVersion: scope.expectedVersion, withCalls: scope.includeCalls, ancestors: [...scope.ancestors, selfId],
		};
		const reply = await this.#sendToLeader('census', branch, async (_, address, timeout) => transport.census(address, request, timeout));
		return reply ?? {
			counts: [], laggards: [], unreached: branch.candidates.map(known => known.member.id).slice(0, maxListedMembers), controlBytes: 0, quarantined: [], calls: [],
		};
	}

	/** Sends a request to the candidates of a branch in turn until one replies, at most `maxLeaderAttempts` of them. */
	async #sendToLeader<Reply>(step: string, branch: Branch, send: SendRequest<Reply>): Promise<Reply | undefined> {
		const {fanout, log} = this.#dependencies;
		const timeout = levelTimeoutMs * countLevels(branch.candidates.length, fanout);
		for (const candidate of branch.candidates.slice(0, maxLeaderAttempts)) {
			try {
				return await send(branch, getAddress(candidate.member), timeout);
			} catch (error) {
				log.debug(`${step} to "${candidate.member.id}" failed: ${describeError(error)}`);
			}
		}

		return undefined;
	}
}

/** Merges the push replies of branches. */
export function mergePushReplies(replies: readonly PushReply[]): PushReply {
	return {
		reached: replies.reduce((sum, reply) => sum + reply.reached, 0),
		unreached: replies.flatMap(reply => reply.unreached).slice(0, maxListedMembers),
		unreachedCount: replies.reduce((sum, reply) => sum + reply.unreachedCount, 0),
	};
}

/** Merges the census replies of branches. */
export function mergeCensusReplies(replies: readonly CensusReply[]): CensusReply {
	const counts = new Map<string, {dataCentre: string; version: number; count: number}>();
	for (const {dataCentre, version, count} of replies.flatMap(reply => reply.counts)) {
		const key = `${dataCentre} ${version}`;
		counts.set(key, {dataCentre, version, count: (counts.get(key)?.count ?? 0) + count});
	}

	return {
		counts: [...counts.values()],
		laggards: replies.flatMap(reply => reply.laggards).slice(0, maxListedMembers),
		unreached: replies.flatMap(reply => reply.unreached).slice(0, maxListedMembers),
		controlBytes: replies.reduce((sum, reply) => sum + reply.controlBytes, 0),
		quarantined: [...new Set(replies.flatMap(reply => reply.quarantined))].slice(0, maxListedMembers),
		calls: mergeCalls(replies.flatMap(reply => reply.calls)),
	};
}

/** Adds up the calls of each route, window by window. */
function mergeCalls(calls: readonly RouteCalls[]): RouteCalls[] {
	const sums = new Map<string, RouteCalls>();
	for (const {route, good, bad} of calls) {
		const sum = sums.get(route);
		sums.set(route, {
			route,
			good: good.map((count, index) => count + (sum?.good[index] ?? 0)),
			bad: bad.map((count, index) => count + (sum?.bad[index] ?? 0)),
		});
	}

	return [...sums.values()];
}
