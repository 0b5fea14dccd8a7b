/** Spreads the crashes of upstreams that one node has seen to all others, without the store. */
import {chooseInteger, type Clock, type Random} from '@ebonylead/base/base.js';
import {describeError} from '@ebonylead/base/errors.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';
import {decodeCrashRecords, encodeCrashRecords, type CrashRecord} from '@ebonylead/upstreams/crash-record.js';
import {type Quarantine} from '@ebonylead/upstreams/quarantine.js';

/** Dependencies of `CrashGossip`. */
export type CrashGossipDependencies = {
	/** Identifier of this node. */
	readonly id: string;
	readonly quarantine: Quarantine;
	readonly membership: Membership;
	readonly clock: Clock;
	readonly random: Random;
	readonly log: Logger;

	/** Whether this node knows the members; before, it may know only nodes that have just started too. */
	readonly hasJoined: () => boolean;

	/** Sends a text to a node, and resolves to its response. */
	readonly send: (origin: string, text: string) => Promise<string>;
};

/** Interval in milliseconds between two rounds while there is something to spread. */
const roundIntervalMs = 150;

/** Number of nodes that each node sends its news to in a round. */
const fanout = 2;

/** Number of rounds beyond those in which news that doubles in each round reaches all members. */
const extraRounds = 2;

/** Minimum interval in milliseconds between two exchanges because of a different digest. */
const exchangeIntervalMs = 250;

/** Number of other nodes that a node asks at its start, and the interval in milliseconds between two attempts. */
const startExchangeCount = 3;
const startIntervalMs = 300;

/** Time in milliseconds after the start in which a node asks others: enough for members to become known. */
const startDurationMs = 10_000;

/** Maximum number of records in a message; the newest ones. */
const maxRecords = 2000;

/** What nodes send each other. */
type CrashMessage = {
	/** Digest of all crashes that the sender knows of. */
	readonly digest: string;

	/** Encoded records: the news of the sender, or all that it knows. */
	readonly records: string;
};

/** A record that is still spread. */
type News = {
	readonly record: CrashRecord;
	readonly learnedAt: number;
	roundsLeft: number;
};

/**
 * Each node passes what it learns on to a few random ones, for as many rounds as
 * it takes to reach all of them with high probability. A node that missed it, as it
 * was cut off, learns of it with its next call: nodes compare the digests of what
 * they know on each call, and exchange all if these differ. A node that has just
 * started asks a few others.
 */
export class CrashGossip {
	readonly #dependencies: CrashGossipDependencies;

	/** News by request and crash. */
	readonly #news = new Map<string, News>();
	#isSpreading = false;
	#exchangedAt = Number.NEGATIVE_INFINITY;
	#isStopped = false;

	constructor(dependencies: CrashGossipDependencies) {
		this.#dependencies = dependencies;
	}

	/** Spreads records that this node has learned. */
	spread(records: readonly CrashRecord[]): void {
		const {membership, clock} = this.#dependencies;
		const roundsLeft = Math.ceil(Math.log2(membership.aliveCount + 1)) + extraRounds;
		for (const record of records) {
			this.#news.set(`${record.fingerprint} ${record.crash}`, {record, learnedAt: clock.now(), roundsLeft});
		}

		void this.#runRounds();
	}

	/** Asks a few other nodes for what they know, as an earlier process of this node may have known it. */
	async start(): Promise<void> {
		const {clock, hasJoined} = this.#dependencies;
		const end = clock.now() + startDurationMs;
		for (let count = 0; count < startExchangeCount && clock.now() < end && !this.#isStopped;) {
			const [peer] = this.#choosePeers();
			if (peer && await this.#exchange(buildOrigin(peer), []) && hasJoined()) {
				count++;
			}

			await clock.sleep(startIntervalMs);
		}
	}

	/** Handles the digest of another node: exchanges all records with it if it knows others. */
	handleDigest(digest: string, origin: string): void {
		const {quarantine, clock} = this.#dependencies;
		if (digest !== quarantine.digest && clock.now() - this.#exchangedAt >= exchangeIntervalMs) {
			this.#exchangedAt = clock.now();
			void this.#exchange(origin, quarantine.listRecords());
		}
	}

	/** Merges a message of another node, and builds the response: all records if the other node still knows others. */
	receive(text: string): string {
		const {quarantine} = this.#dependencies;
		const {digest, records} = decodeMessage(text);
		quarantine.merge(decodeCrashRecords(records));
		return this.#buildMessage(digest === quarantine.digest ? [] : quarantine.listRecords());
	}

	/** Stops spreading. */
	stop(): void {
		this.#isStopped = true;
		this.#news.clear();
	}

	async #runRounds(): Promise<void> {
		if (this.#isSpreading) {
			return;
		}

		this.#isSpreading = true;
		while (this.#news.size > 0) {
			const records = this.#takeNews();
			for (const peer of this.#choosePeers()) {
				void this.#exchange(buildOrigin(peer), records);
			}

			await this.#dependencies.clock.sleep(roundIntervalMs);
		}

		this.#isSpreading = false;
	}

	/** Takes one round of all news. */
	#takeNews(): CrashRecord[] {
		const now = this.#dependencies.clock.now();
		const records: CrashRecord[] = [];
		for (const [key, news] of this.#news) {
			records.push({...news.record, age: news.record.age + now - news.learnedAt});
			news.roundsLeft--;
			if (news.roundsLeft === 0) {
				this.#news.delete(key);
			}
		}

		return records;
	}

	#choosePeers(): Member[] {
		const {membership, id, random} = this.#dependencies;
		const members = membership.listAll().filter(member => member.state === MemberState.ALIVE && member.id !== id);
		const peers: Member[] = [];
		while (peers.length < fanout && members.length > 0) {
			peers.push(...members.splice(chooseInteger(random, members.length), 1));
		}

		return peers;
	}

	/** Exchanges records with a node; returns whether it responded. */
	async #exchange(origin: string, records: readonly CrashRecord[]): Promise<boolean> {
		const {quarantine, send, log} = this.#dependencies;
		if (this.#isStopped) {
			return false;
		}

		try {
			const response = decodeMessage(await send(origin, this.#buildMessage(records)));
			quarantine.merge(decodeCrashRecords(response.records));
			return true;
		} catch (error) {
			// Another node passes it on, or the next call shows that the digests differ.
			log.info({origin, reason: describeError(error)}, 'Exchanging known crashes with a node failed');
			return false;
		}
	}

	#buildMessage(records: readonly CrashRecord[]): string {
		const message: CrashMessage = {digest: this.#dependencies.quarantine.digest, records: encodeCrashRecords(records.slice(-maxRecords))};
		return JSON.stringify(message);
	}
}

function buildOrigin({host, meshPort}: Member): string {
	return `http://${host}:${meshPort}`;
}

function decodeMessage(text: string): CrashMessage {
	try {
		const {digest, records} = JSON.parse(text) as Partial<CrashMessage>;
		return {digest: typeof digest === 'string' ? digest : '', records: typeof records === 'string' ? records : ''};
	} catch {
		// What is not JSON tells of no crash.
		return {digest: '', records: ''};
	}
}
