import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {type EncodedSnapshot} from '@ebonylead/rules/rules.js';
import {emptySnapshot, encodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {computeDelta} from '@ebonylead/rules/snapshot-delta.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {applyAcceptedVersion} from '@ebonylead/stand-ins/fuzz-case.js';
import {FakeFleet, type FakeNode} from '@ebonylead/stand-ins/fake-fleet.js';
import {MemberState, type PushReply} from '../generated/peers.js';
import {tombstoneTtlMs} from '../membership.js';
import {getAddress} from '../peers.js';

const twoDataCentres = ['a', 'a', 'a', 'a', 'b', 'b', 'b', 'b'];

function buildSnapshot(version: number): EncodedSnapshot {
	return encodeSnapshot({version, rules: parseRuleFile('f', `GET a.example/${version} -> s # A`).unsafeCoerce().rules});
}

const snapshots = [emptySnapshot, buildSnapshot(1), buildSnapshot(2), buildSnapshot(3)];

async function startFleet(seed: number, dataCentres = twoDataCentres): Promise<FakeFleet> {
	const fleet = new FakeFleet(seed);
	await fleet.start(dataCentres);
	await fleet.clock.advance(3000);
	return fleet;
}

async function accept(node: FakeNode, version: number): Promise<PushReply> {
	return applyAcceptedVersion(node, snapshots[version - 1]!, snapshots[version]!);
}

function listVersions(fleet: FakeFleet): number[] {
	return fleet.running.map(node => node.activeVersion.version);
}

function listStates(fleet: FakeFleet, id: string): Array<MemberState | undefined> {
	return fleet.running.map(node => node.peers.membership.findMember(id)?.state);
}

describe('peer node', () => {
	it('converges to one membership of all members', async t => {
		const fleet = await startFleet(1);
		t.deepEqual(fleet.running.map(node => node.peers.membership.aliveCount), Array.from({length: 8}, () => 8));
		t.is(new Set(fleet.running.map(node => node.peers.membership.hash)).size, 1);
		fleet.stop();
	});

	describe('distribution of versions', () => {
		it('activates a version on every node, and the reply counts them', async t => {
			const fleet = await startFleet(2);
			const before = fleet.network.counts.push;
			const reply = await accept(fleet.nodes[3]!, 1);
			t.is(reply.reached, 7);
			t.is(fleet.network.counts.push - before, 7);
			t.deepEqual(new Set(listVersions(fleet)), new Set([1]));
			const census = await fleet.nodes[0]!.peers.fetchCensus();
			t.deepEqual(census.counts.map(count => count.count), [4, 4]);
			fleet.stop();
		});

		it('tries another leader if the first was just killed', async t => {
			const fleet = await startFleet(3);
			fleet.kill(fleet.nodes[5]!);
			const reply = await accept(fleet.nodes[0]!, 1);
			t.is(reply.reached, 6);
			t.deepEqual(reply.unreached, ['n5']);
			t.deepEqual(new Set(listVersions(fleet)), new Set([1]));
			fleet.stop();
		});

		it('ignores updates that arrive late or twice', async t => {
			const fleet = await startFleet(4);
			const node = fleet.nodes[0]!;
			await accept(node, 1);
			await accept(node, 2);
			await node.peers.sendVersion(snapshots[1]!, computeDelta(snapshots[0]!.snapshot, snapshots[1]!));
			t.deepEqual(new Set(listVersions(fleet)), new Set([2]));
			t.deepEqual(fleet.violations, []);
			fleet.stop();
		});

		it('updates a node that missed versions by heartbeats', async t => {
			const fleet = await startFleet(5);
			const isolated = fleet.nodes[2]!;
			fleet.network.linkRule = (from, to) => from === isolated.address || to === isolated.address ? 'silence' : 'pass';
			const first = accept(fleet.nodes[0]!, 1);
			await fleet.clock.advance(6000);
			await first;
			const second = accept(fleet.nodes[0]!, 2);
			await fleet.clock.advance(6000);
			await second;
			t.is(isolated.activeVersion.version, 0);
			fleet.network.linkRule = () => 'pass';
			await fleet.clock.advance(15_000);
			t.is(isolated.activeVersion.version, 2);
			t.deepEqual(fleet.violations, []);
			fleet.stop();
		});
	});

	it('sends crashes of upstreams to every member', async t => {
		const fleet = await startFleet(20);
		await fleet.nodes[0]!.peers.sendCrashRecords([{
			fingerprint: 'x', crash: 'c', inFlight: 1, age: 0, generation: 1, isAcquitted: false,
		}]);
		t.deepEqual(fleet.nodes.slice(1).map(node => node.crashFingerprints), Array.from({length: 7}, () => ['x']));
		fleet.stop();
	});

	describe('a node that accepted a version', () => {
		it('does not apply it before another node has it', async t => {
			const fleet = await startFleet(21);
			const isolated = fleet.nodes[0]!;
			fleet.network.linkRule = (from, to) => from === isolated.address || to === isolated.address ? 'silence' : 'pass';
			const pending = accept(isolated, 1);
			await fleet.clock.advance(10_000);
			const reply = await pending;
			t.is(reply.reached, 0);
			t.is(isolated.activeVersion.version, 0);
			fleet.stop();
		});

		it('serves the snapshot to nodes that can not apply its push', async t => {
			const fleet = await startFleet(22);
			await accept(fleet.nodes[0]!, 1);
			fleet.nodes[3]!.activeVersion.apply(snapshots[1]!);
			await fleet.nodes[0]!.peers.sendVersion(snapshots[3]!, computeDelta(snapshots[2]!.snapshot, snapshots[3]!));
			t.deepEqual(listVersions(fleet).slice(1), [3, 3, 3, 3, 3, 3, 3]);
			fleet.stop();
		});

		it('lets a new node retry if its peers fail while it catches up', async t => {
			const fleet = await startFleet(23);
			await accept(fleet.nodes[0]!, 1);
			const newNode = await fleet.addNode('late', 'a');
			for (const node of fleet.nodes) {
				node.peers.fetch = async () => {
					throw new Error('gone');
				};
			}

			await fleet.clock.advance(2000);
			t.false(newNode.isServing);
			for (const node of fleet.nodes) {
				delete (node.peers as {fetch?: unknown}).fetch;
			}

			await fleet.clock.advance(5000);
			t.true(newNode.isServing);
			t.is(newNode.activeVersion.version, 1);
			fleet.stop();
		});
	});

	describe('failure detection', () => {
		it('detects a killed node, and tells all others', async t => {
			const fleet = await startFleet(6);
			fleet.kill(fleet.nodes[1]!);
			await fleet.clock.advance(10_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([MemberState.DEAD]));
			fleet.stop();
		});

		it('sends no push for a stall that is shorter than the suspicion timeout', async t => {
			const fleet = await startFleet(13);
			const stalled = fleet.nodes[1]!;
			const before = fleet.network.counts.push;
			fleet.network.linkRule = (from, to) => from === stalled.address || to === stalled.address ? 'silence' : 'pass';
			await fleet.clock.advance(3000);
			fleet.network.linkRule = () => 'pass';
			await fleet.clock.advance(10_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([MemberState.ALIVE]));
			t.is(fleet.network.counts.push, before);
			fleet.stop();
		});

		it('keeps monitoring after a member fails to sync its members', async t => {
			const fleet = await startFleet(14);
			const faulty = fleet.nodes[1]!;
			faulty.peers.sync = async () => {
				throw new Error('broken');
			};

			faulty.peers.membership.merge([{...faulty.peers.self, id: 'ghost'}], 0);
			await fleet.clock.advance(10_000);
			fleet.kill(fleet.nodes[2]!);
			await fleet.clock.advance(10_000);
			t.deepEqual(new Set(listStates(fleet, 'n2')), new Set([MemberState.DEAD]));
			fleet.stop();
		});

		it('removes a dead member after two hours', async t => {
			const fleet = await startFleet(15, ['a', 'a', 'a']);
			fleet.kill(fleet.nodes[1]!);
			await fleet.clock.advance(20_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([MemberState.DEAD]));
			fleet.clock.jump(tombstoneTtlMs);
			await fleet.clock.advance(20_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([undefined]));
			fleet.stop();
		});

		it('does not declare a member dead because of one broken link', async t => {
			const fleet = await startFleet(7);
			const [left, right] = [fleet.nodes[0]!.address, fleet.nodes[1]!.address];
			fleet.network.linkRule = (from, to) => (from === left && to === right) || (from === right && to === left) ? 'silence' : 'pass';
			await fleet.clock.advance(30_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([MemberState.ALIVE]));
			fleet.stop();
		});

		it('readmits a node that was paused for longer than every timeout', async t => {
			const fleet = await startFleet(8);
			const paused = fleet.nodes[1]!;
			fleet.network.linkRule = (from, to) => from === paused.address || to === paused.address ? 'silence' : 'pass';
			await fleet.clock.advance(60_000);
			const others = fleet.running.filter(node => node !== paused);
			t.deepEqual(new Set(others.map(node => node.peers.membership.findMember('n1')?.state)), new Set([MemberState.DEAD]));
			fleet.network.linkRule = () => 'pass';
			await fleet.clock.advance(60_000);
			t.deepEqual(new Set(listStates(fleet, 'n1')), new Set([MemberState.ALIVE]));
			fleet.stop();
		});

		it('heals a long partition of a data centre, and brings it the version accepted meanwhile', async t => {
			const fleet = await startFleet(9);
			const remote = new Set(fleet.nodes.slice(4).map(node => node.address));
			fleet.network.linkRule = (from, to) => remote.has(from) === remote.has(to) ? 'pass' : 'silence';
			const pushed = accept(fleet.nodes[0]!, 1);
			await fleet.clock.advance(120_000);
			await pushed;
			t.deepEqual(listVersions(fleet), [1, 1, 1, 1, 0, 0, 0, 0]);
			fleet.network.linkRule = () => 'pass';
			await fleet.clock.advance(120_000);
			t.deepEqual(new Set(listVersions(fleet)), new Set([1]));
			t.deepEqual(fleet.running.map(node => node.peers.membership.aliveCount), Array.from({length: 8}, () => 8));
			t.deepEqual(fleet.violations, []);
			fleet.stop();
		});
	});

	describe('leaving and rejoining', () => {
		it('tells all members before it leaves', async t => {
			const fleet = await startFleet(10);
			const leaving = fleet.nodes[2]!.peers.leave();
			await fleet.clock.advance(500);
			await leaving;
			t.deepEqual(new Set(listStates(fleet, 'n2')), new Set([MemberState.LEFT]));
			fleet.stop();
		});

		it('replaces a process by a newer one of the same identity', async t => {
			const fleet = await startFleet(11);
			const older = fleet.nodes[1]!;
			const newer = await fleet.addNode('n1', 'a');
			await fleet.clock.advance(5000);
			t.true(older.isReplaced);
			t.false(newer.isReplaced);
			fleet.stop();
		});

		it('knows the version that an identity applied before its process was replaced', async t => {
			const fleet = await startFleet(12);
			await accept(fleet.nodes[0]!, 1);
			await fleet.clock.advance(3000);
			fleet.kill(fleet.nodes[1]!);
			const restarted = await fleet.addNode('n1', 'a');
			t.false(restarted.isServing);
			const sync = await restarted.peers.syncVersion(fleet.running.filter(node => node !== restarted).map(node => getAddress(node.peers.self)));
			t.is(sync.version, 1);
			t.is(restarted.activeVersion.version, 1);
			fleet.stop();
		});
	});
});
