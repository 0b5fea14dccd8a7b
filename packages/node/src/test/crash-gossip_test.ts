import {SeededRandom} from '@ebonylead/base/random.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {Quarantine} from '@ebonylead/upstreams/quarantine.js';
import {CrashGossip} from '../crash-gossip.js';

/** Time within which every node that can be reached must know of a crash. */
const spreadTimeMs = 3000;

/** Time of a message in each direction. */
const latencyMs = 5;
const gapMs = 500;
const log = createLogger('silent');

type Node = {
	readonly origin: string;
	readonly quarantine: Quarantine;
	readonly gossip: CrashGossip;
	readonly membership: Membership;
	isCutOff: boolean;
	hasJoined: boolean;
};

function buildMember(index: number): Member {
	return {
		id: `n${index}`,
		incarnation: 1,
		dataCentre: 'a',
		region: 'r',
		host: `h${index}`,
		peerPort: 1,
		meshPort: 1,
		state: MemberState.ALIVE,
		service: 's',
		upstreamState: UpstreamState.READY,
		slots: 4,
		instance: 1,
	};
}

/** Nodes that exchange messages, of which a share is lost. */
class Fleet {
	readonly clock = new FakeClock();
	readonly nodes: Node[] = [];
	byteCount = 0;
	readonly #random: SeededRandom;
	readonly #lossShare: number;

	constructor(count: number, lossShare: number, seed: number) {
		this.#random = new SeededRandom(seed);
		this.#lossShare = lossShare;
		const members = Array.from({length: count}, (_, index) => buildMember(index));
		for (const [index, {id, host, meshPort}] of members.entries()) {
			this.nodes.push(this.#createNode(id, `http://${host}:${meshPort}`, members, index));
		}
	}

	/** Crashes an upstream beside a node while requests are in flight: the first one alone, if the node suspects it. */
	crash(index: number, crash: string, ...fingerprints: string[]): void {
		const {quarantine} = this.nodes[index]!;
		const inFlight = quarantine.getStatus(fingerprints[0]!) === 'suspect' ? fingerprints.slice(0, 1) : fingerprints;
		quarantine.recordCrash(crash, new Map(inFlight.map(fingerprint => [fingerprint, quarantine.getNextGeneration(fingerprint)])));
	}

	/** Adds nodes that have just started, and know only each other. */
	startIsland(count: number): Node[] {
		const first = this.nodes.length;
		const members = Array.from({length: count}, (_, index) => buildMember(first + index));
		const started = members.map(({id, host, meshPort}, index) => this.#createNode(id, `http://${host}:${meshPort}`, members, first + index));
		this.nodes.push(...started);
		for (const node of started) {
			node.hasJoined = false;
			void node.gossip.start();
		}

		return started;
	}

	#createNode(id: string, origin: string, members: readonly Member[], index: number): Node {
		const {clock} = this;
		const membership = new Membership();
		membership.merge(members, 0);
		const quarantine = new Quarantine(clock, undefined, records => {
			gossip.spread(records);
		});
		const gossip = new CrashGossip({
			id, quarantine, membership, clock, random: new SeededRandom(1000 + index), log, hasJoined: () => node.hasJoined, send: async (target, text) => this.#send(origin, target, text),
		});
		const node: Node = {
			origin, quarantine, gossip, membership, isCutOff: false, hasJoined: true,
		};
		return node;
	}

	async #send(from: string, to: string, text: string): Promise<string> {
		await this.clock.sleep(latencyMs);
		const [sender, receiver] = [from, to].map(origin => this.nodes.find(node => node.origin === origin)!);
		if (sender!.isCutOff || receiver!.isCutOff || this.#random.next() < this.#lossShare) {
			throw new Error('lost');
		}

		const response = receiver!.gossip.receive(text);
		this.byteCount += text.length + response.length;
		await this.clock.sleep(latencyMs);
		return response;
	}
}

describe('crashes that nodes tell each other of', () => {
	for (const [count, lossShare] of [[11, 0], [11, 0.3], [89, 0], [89, 0.3], [400, 0.1]] as const) {
		it(`reach all of ${count} nodes in time, each crash seen by another one, with a loss of ${lossShare}`, async t => {
			const fleet = new Fleet(count, lossShare, 24);
			for (const index of [0, 1, 2]) {
				fleet.crash(index, `c${index}`, 'x', `other-${index}`);
				await fleet.clock.advance(gapMs);
			}

			await fleet.clock.advance(spreadTimeMs - gapMs);
			t.is(fleet.nodes.filter(({quarantine}) => quarantine.getStatus('x') !== 'quarantined').length, 0);
			t.is(fleet.nodes.filter(({quarantine}) => quarantine.getStatus('other-0') !== 'clear').length, 0);
			t.log(`${Math.round(fleet.byteCount / count)} bytes a node`);
		});
	}

	it('are no longer sent when all know of them', async t => {
		const fleet = new Fleet(20, 0, 25);
		fleet.crash(0, 'c', 'x');
		await fleet.clock.advance(2 * spreadTimeMs);
		const {byteCount} = fleet;
		await fleet.clock.advance(10 * spreadTimeMs);
		t.is(fleet.byteCount, byteCount);
	});

	it('reach a node that was cut off with the next call that it exchanges, and what it knows reaches the others', async t => {
		const fleet = new Fleet(20, 0, 26);
		const cut = fleet.nodes[19]!;
		cut.isCutOff = true;
		fleet.crash(0, 'c0', 'x');
		fleet.crash(19, 'c1', 'y');
		await fleet.clock.advance(2 * spreadTimeMs);
		t.is(cut.quarantine.countCrashes('x'), 0);
		cut.isCutOff = false;
		cut.gossip.handleDigest(fleet.nodes[3]!.quarantine.digest, fleet.nodes[3]!.origin);
		await fleet.clock.advance(spreadTimeMs);
		t.is(new Set(fleet.nodes.map(({quarantine}) => quarantine.digest)).size, 1);
		t.true(fleet.nodes.every(({quarantine}) => quarantine.countCrashes('x') === 1 && quarantine.countCrashes('y') === 1));
	});

	it('reach a node that has just started, before it exchanges any call', async t => {
		const fleet = new Fleet(20, 0.3, 29);
		const started = fleet.nodes[5]!;
		started.isCutOff = true;
		fleet.crash(0, 'c0', 'x');
		await fleet.clock.advance(2 * spreadTimeMs);
		started.isCutOff = false;
		void started.gossip.start();
		await fleet.clock.advance(spreadTimeMs);
		t.is(started.quarantine.countCrashes('x'), 1);
	});

	it('reach nodes that have just started and know only each other at first, once these know all members', async t => {
		const fleet = new Fleet(20, 0, 31);
		fleet.crash(0, 'c0', 'x');
		await fleet.clock.advance(2 * spreadTimeMs);
		const island = fleet.startIsland(3);
		await fleet.clock.advance(spreadTimeMs / 2);
		for (const node of island) {
			node.membership.merge(Array.from({length: 20}, (_, index) => buildMember(index)), fleet.clock.now());
			node.hasJoined = true;
		}

		await fleet.clock.advance(spreadTimeMs);
		t.deepEqual(island.map(({quarantine}) => quarantine.countCrashes('x')), [1, 1, 1]);
	});

	it('are taken back everywhere by one run without a crash', async t => {
		const fleet = new Fleet(20, 0.1, 27);
		for (const index of [0, 1, 2]) {
			fleet.crash(index, `c${index}`, 'x');
			await fleet.clock.advance(gapMs);
		}

		await fleet.clock.advance(spreadTimeMs);
		fleet.nodes[7]!.quarantine.recordSuccess('x');
		await fleet.clock.advance(spreadTimeMs);
		t.true(fleet.nodes.every(({quarantine}) => quarantine.isEmpty));
	});

	it('are ignored if the message is malformed', t => {
		const [node] = new Fleet(1, 0, 28).nodes;
		for (const text of ['', 'x', 'null', '1', '[]', '{"digest":1,"records":{}}', '{"digest":"x","records":"x"}']) {
			t.notThrows(() => node!.gossip.receive(text));
		}

		t.true(node!.quarantine.isEmpty);
	});
});
