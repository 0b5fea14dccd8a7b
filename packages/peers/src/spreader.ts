/** Carries versions and changes of membership down a tree of pushes. */
import {Buffer} from 'node:buffer';
import {type Clock} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {
	type CensusReply, type KeyRange, type Member, type PushReply, type RouteCalls, type Suspect,
} from './generated/peers.js';
import {type Membership} from './membership.js';
import {getAddress, type PeerAddress, type PeerTransport} from './peer-transport.js';
import {
	countLevels, coverDataCentre, listRange, rankLeaders, splitRange, type Branch,
} from './tree.js';

/** What is spread: a version, members, or both. */
export type SpreadContent = {
	/** An encoded `VersionDelta`; empty for none. */
	readonly versionDelta: Uint8Array;
	readonly members: readonly Member[];
	readonly suspects: readonly Suspect[];
};

/** A count of versions that this node starts, or passes on. */
export type CensusScope = {
	/** Identities of the members above this node in the tree. */
	readonly ancestors: readonly string[];

	/** Members below this version are laggards. */
	readonly expectedVersion: number;

	/** Whether the calls of routes are counted too. */
	readonly isWithCalls: boolean;
};

/** What `Spreader` needs. */
export type SpreaderParts = {
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

/** Time in milliseconds that one level of the tree may take. */
const levelTimeout = 700;

/** Most members of one branch that are tried as its leader. */
const maxLeaders = 3;
const maxNamed = 100;

type Ask<Reply> = (branch: Branch, address: PeerAddress, timeout: number) => Promise<Reply>;

/** Spreads content over a range: each branch gets it through one of its members. */
export class Spreader {
	readonly #parts: SpreaderParts;

	constructor(parts: SpreaderParts) {
		this.#parts = parts;
	}

	/** Spreads content over all data centres, this one included. */
	async spreadEverywhere(content: SpreadContent): Promise<PushReply> {
		const {membership, dataCentre} = this.#parts;
		const remote = membership.listDataCentres().filter(name => name !== dataCentre);
		const replies = await Promise.all([
			this.spreadRange(coverDataCentre(dataCentre), content, []),
			...remote.map(async name => this.#spreadBranch(this.#buildRemoteBranch(name), content, [])),
		]);
		return sumPushReplies(replies);
	}

	/** Spreads content over the other members of this node's data centre. */
	async spreadLocally(content: SpreadContent): Promise<PushReply> {
		return this.spreadRange(coverDataCentre(this.#parts.dataCentre), content, []);
	}

	/** Spreads content over the members of a range, without this node and those above it. */
	async spreadRange(range: KeyRange, content: SpreadContent, ancestors: readonly string[]): Promise<PushReply> {
		const branches = this.#splitRange(range, ancestors);
		return sumPushReplies(await Promise.all(branches.map(async branch => this.#spreadBranch(branch, content, ancestors))));
	}

	/** Counts the versions in force over all data centres, without this node. */
	async takeCensusEverywhere(expectedVersion: number, isWithCalls: boolean): Promise<CensusReply> {
		const {membership, dataCentre} = this.#parts;
		const remote = membership.listDataCentres().filter(name => name !== dataCentre);
		const scope = {ancestors: [], expectedVersion, isWithCalls};
		const replies = await Promise.all([
			this.takeCensus(coverDataCentre(dataCentre), scope),
			...remote.map(async name => this.#takeCensusOfBranch(this.#buildRemoteBranch(name), scope)),
		]);
		return sumCensusReplies(replies);
	}

	/** Counts the versions in force over the members of a range, without this node and those above it. */
	async takeCensus(range: KeyRange, scope: CensusScope): Promise<CensusReply> {
		const branches = this.#splitRange(range, scope.ancestors);
		return sumCensusReplies(await Promise.all(branches.map(async branch => this.#takeCensusOfBranch(branch, scope))));
	}

	#splitRange(range: KeyRange, ancestors: readonly string[]): Branch[] {
		const members = listRange(this.#parts.membership, range, [this.#parts.selfId, ...ancestors]);
		return splitRange(members, range, this.#parts.fanout);
	}

	#buildRemoteBranch(dataCentre: string): Branch {
		const range = coverDataCentre(dataCentre);
		return {range, candidates: rankLeaders(listRange(this.#parts.membership, range, [this.#parts.selfId]), range.low)};
	}

	async #spreadBranch(branch: Branch, content: SpreadContent, ancestors: readonly string[]): Promise<PushReply> {
		const {deployment, selfId, selfAddress, transport} = this.#parts;
		const request = {
			deployment,
			senderHost: selfAddress.host,
			senderPort: selfAddress.peerPort,
			range: branch.range,
			versionDelta: Buffer.from(content.versionDelta),
			members: content.members as Member[],
			ancestors: [...ancestors, selfId],
			suspects: content.suspects as Suspect[],
		};
		const reply = await this.#askBranch('push', branch, async (_, address, timeout) => transport.push(address, request, timeout));
		if (reply) {
			return reply;
		}

		const names = branch.candidates.map(known => known.member.id);
		return {reached: 0, unreached: names.slice(0, maxNamed), unreachedCount: names.length};
	}

	async #takeCensusOfBranch(branch: Branch, scope: CensusScope): Promise<CensusReply> {
		const {deployment, selfId, transport} = this.#parts;
		const request = {
			deployment, range: branch.range, expectedVersion: scope.expectedVersion, withCalls: scope.isWithCalls, ancestors: [...scope.ancestors, selfId],
		};
		const reply = await this.#askBranch('census', branch, async (_, address, timeout) => transport.census(address, request, timeout));
		return reply ?? {
			counts: [], laggards: [], unreached: branch.candidates.map(known => known.member.id).slice(0, maxNamed), controlBytes: 0, quarantined: [], calls: [],
		};
	}

	/** Asks the members of a branch in turn until one answers. */
	async #askBranch<Reply>(step: string, branch: Branch, ask: Ask<Reply>): Promise<Reply | undefined> {
		const {fanout, log} = this.#parts;
		const timeout = levelTimeout * countLevels(branch.candidates.length, fanout);
		for (const candidate of branch.candidates.slice(0, maxLeaders)) {
			try {
				return await ask(branch, getAddress(candidate.member), timeout);
			} catch (error) {
				log.debug(`${step} to "${candidate.member.id}" failed: ${describeError(error)}`);
			}
		}

		return undefined;
	}
}

/** Adds up the replies of branches. */
export function sumPushReplies(replies: readonly PushReply[]): PushReply {
	return {
		reached: replies.reduce((sum, reply) => sum + reply.reached, 0),
		unreached: replies.flatMap(reply => reply.unreached).slice(0, maxNamed),
		unreachedCount: replies.reduce((sum, reply) => sum + reply.unreachedCount, 0),
	};
}

/** Adds up the counts of branches. */
export function sumCensusReplies(replies: readonly CensusReply[]): CensusReply {
	const counts = new Map<string, {dataCentre: string; version: number; count: number}>();
	for (const {dataCentre, version, count} of replies.flatMap(reply => reply.counts)) {
		const key = `${dataCentre} ${version}`;
		counts.set(key, {dataCentre, version, count: (counts.get(key)?.count ?? 0) + count});
	}

	return {
		counts: [...counts.values()],
		laggards: replies.flatMap(reply => reply.laggards).slice(0, maxNamed),
		unreached: replies.flatMap(reply => reply.unreached).slice(0, maxNamed),
		controlBytes: replies.reduce((sum, reply) => sum + reply.controlBytes, 0),
		quarantined: [...new Set(replies.flatMap(reply => reply.quarantined))].slice(0, maxNamed),
		calls: sumCalls(replies.flatMap(reply => reply.calls)),
	};
}

/** Adds up the calls of routes, window by window. */
function sumCalls(calls: readonly RouteCalls[]): RouteCalls[] {
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
