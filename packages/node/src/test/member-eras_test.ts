import {createLogger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {type RowPage, type RowStore, type WriteOutcome} from '@ebonylead/store/row-store.js';
import {MemberDirectory, memberTable} from '../member-directory.js';
import {type RecordedUpstream} from '../member-row.js';

/** Longer than it takes all directories to write their rows again and to read those of the others. */
const settleMs = 1500;

/** Longer than a member whose row is missing after a restore stays known. */
const lapseMs = 3500;
const updateTimeoutMs = 500;

const upstream: RecordedUpstream = {
	announcement: {
		service: 's', url: 'http://10.0.0.1:9', slots: 3, connections: 9, state: 'ready', instance: 'i-1',
	},
	stamp: {instance: 'i-1', startedAt: 5, sequence: 1},
};

/** The view of one node on the shared store, which it may be cut off from. */
class StoreView implements RowStore {
	isCutOff = false;

	/** Called once, between the next write and its outcome. */
	onWritten: (() => void) | undefined;
	readonly #store: FakeRowStore;

	constructor(store: FakeRowStore) {
		this.#store = store;
	}

	async readTable(table: string): Promise<RowPage> {
		this.#throwIfCutOff();
		return this.#store.readTable(table);
	}

	async waitForChanges(table: string, after: number, signal: AbortSignal): Promise<RowPage> {
		this.#throwIfCutOff();
		const page = await this.#store.waitForChanges(table, after, signal);
		this.#throwIfCutOff();
		return page;
	}

	async writeRow(table: string, key: string, value: string | undefined, expectedRevision: number): Promise<WriteOutcome> {
		this.#throwIfCutOff();
		const outcome = await this.#store.writeRow(table, key, value, expectedRevision);
		this.onWritten?.();
		this.onWritten = undefined;
		return outcome;
	}

	#throwIfCutOff(): void {
		if (this.isCutOff) {
			throw new Error('cut off');
		}
	}
}

/** A node as far as its directory goes. */
type DirectoryNode = {
	readonly directory: MemberDirectory;
	readonly membership: Membership;
	readonly store: StoreView;
	readonly restored: Array<RecordedUpstream | undefined>;
	readonly stop: () => void;
};

/** Runs directories of several nodes on one store, in virtual time. */
class DirectoryFleet {
	readonly clock = new FakeClock();
	readonly store = new FakeRowStore();
	readonly #controllers: AbortController[] = [];

	async addNode(id: string): Promise<DirectoryNode> {
		const controller = new AbortController();
		const membership = new Membership();
		const store = new StoreView(this.store);
		const restored: Array<RecordedUpstream | undefined> = [];
		const self: Member = {
			id, incarnation: 0, dataCentre: 'a', region: 'r', host: id, peerPort: 1, meshPort: 2, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 3, instance: 1,
		};
		const directory = new MemberDirectory({
			store, membership, clock: this.clock, log: createLogger('silent'), self, onRestored(_member, found) {
				restored.push(found);
			},
		});
		void directory.run(controller.signal);
		this.#controllers.push(controller);
		await this.clock.advance(settleMs);
		return {
			directory, membership, store, restored, stop() {
				controller.abort();
			},
		};
	}

	async drain({directory}: DirectoryNode): Promise<void> {
		void directory.update({upstreamState: UpstreamState.DRAINING}, updateTimeoutMs, upstream);
		await this.clock.advance(settleMs);
	}

	readRow(id: string): Record<string, unknown> | undefined {
		const value = this.store.findValue(memberTable, id);
		return value === undefined ? undefined : JSON.parse(value) as Record<string, unknown>;
	}

	async stop(): Promise<void> {
		for (const controller of this.#controllers) {
			controller.abort();
		}

		await this.clock.advance(lapseMs);
	}
}

async function withFleet(run: (fleet: DirectoryFleet) => Promise<void>): Promise<void> {
	const fleet = new DirectoryFleet();
	try {
		await run(fleet);
	} finally {
		await fleet.stop();
	}
}

describe('member directory of a store that is restored from a copy', () => {
	describe('row of this node', () => {
		it('is written again if the copy does not have it', async t => {
			await withFleet(async fleet => {
				const copy = fleet.store.createCopy();
				await fleet.addNode('n1');
				fleet.store.restoreCopy(copy);
				t.is(fleet.readRow('n1'), undefined);
				await fleet.clock.advance(settleMs);
				t.like(fleet.readRow('n1'), {upstreamState: UpstreamState.READY});
			});
		});

		it('is written again if the copy has an earlier one, and a drain holds meanwhile at all nodes', async t => {
			await withFleet(async fleet => {
				const first = await fleet.addNode('n1');
				const second = await fleet.addNode('n2');
				const copy = fleet.store.createCopy();
				await fleet.drain(first);
				t.is(second.membership.findMember('n1')?.upstreamState, UpstreamState.DRAINING);
				first.store.isCutOff = true;
				fleet.store.restoreCopy(copy);
				await fleet.clock.advance(settleMs);
				t.like(fleet.readRow('n1'), {upstreamState: UpstreamState.READY});
				t.is(second.membership.findMember('n1')?.upstreamState, UpstreamState.DRAINING);
				first.store.isCutOff = false;
				await fleet.clock.advance(settleMs);
				t.like(fleet.readRow('n1'), {upstreamState: UpstreamState.DRAINING});
				t.is(second.membership.findMember('n1')?.upstreamState, UpstreamState.DRAINING);
			});
		});

		it('is written again if the store is restored before the outcome of its write arrives', async t => {
			await withFleet(async fleet => {
				const node = await fleet.addNode('n1');
				const copy = fleet.store.createCopy();
				node.store.onWritten = () => {
					fleet.store.restoreCopy(copy);
				};

				await fleet.drain(node);
				t.like(fleet.readRow('n1'), {upstreamState: UpstreamState.DRAINING});
			});
		});

		it('is written again after each of two restores in a row', async t => {
			await withFleet(async fleet => {
				const copy = fleet.store.createCopy();
				await fleet.addNode('n1');
				const observer = await fleet.addNode('n2');
				fleet.store.restoreCopy(copy);
				await fleet.clock.advance(20);
				fleet.store.restoreCopy(copy);
				await fleet.clock.advance(lapseMs);
				t.like(fleet.readRow('n1'), {upstreamState: UpstreamState.READY});
				t.is(observer.membership.findMember('n1')?.state, MemberState.ALIVE);
			});
		});

		it('that may lack the leave of its upstream does not restore it as ready', async t => {
			await withFleet(async fleet => {
				const node = await fleet.addNode('n1');
				void node.directory.update({}, updateTimeoutMs, upstream);
				await fleet.clock.advance(settleMs);
				const copy = fleet.store.createCopy();
				await fleet.drain(node);
				node.stop();
				await fleet.clock.advance(settleMs);
				fleet.store.restoreCopy(copy);
				const restarted = await fleet.addNode('n1');
				t.deepEqual(restarted.restored, [undefined]);
			});
		});

		it('that was written since restores the upstream', async t => {
			await withFleet(async fleet => {
				const node = await fleet.addNode('n1');
				void node.directory.update({}, updateTimeoutMs, upstream);
				await fleet.clock.advance(settleMs);
				fleet.store.restoreCopy(fleet.store.createCopy());
				await fleet.clock.advance(settleMs);
				node.stop();
				await fleet.clock.advance(settleMs);
				const restarted = await fleet.addNode('n1');
				t.deepEqual(restarted.restored, [upstream]);
			});
		});
	});

	describe('a row of another node', () => {
		it('that was written since supersedes those of before, whatever its revision', async t => {
			await withFleet(async fleet => {
				const copy = fleet.store.createCopy();
				const first = await fleet.addNode('n1');
				for (let write = 0; write < 100; write++) {
					fleet.store.setValue('other', 'key', String(write));
				}

				await fleet.drain(first);
				const second = await fleet.addNode('n2');
				fleet.store.restoreCopy(copy);
				void first.directory.update({upstreamState: UpstreamState.READY}, updateTimeoutMs, upstream);
				await fleet.clock.advance(settleMs);
				t.is(second.membership.findMember('n1')?.upstreamState, UpstreamState.READY);
			});
		});

		it('that is missing is no departure until its node had time to write it again', async t => {
			await withFleet(async fleet => {
				const copy = fleet.store.createCopy();
				const first = await fleet.addNode('n1');
				const second = await fleet.addNode('n2');
				first.store.isCutOff = true;
				fleet.store.restoreCopy(copy);
				await fleet.clock.advance(1900);
				t.is(second.membership.findMember('n1')?.state, MemberState.ALIVE);
				fleet.store.removeHistory();
				await fleet.clock.advance(100);
				t.is(second.membership.findMember('n1')?.state, MemberState.ALIVE);
				await fleet.clock.advance(lapseMs);
				t.is(second.membership.findMember('n1')?.state, MemberState.LEFT);
				first.store.isCutOff = false;
				await fleet.clock.advance(settleMs);
				t.is(second.membership.findMember('n1')?.state, MemberState.ALIVE);
			});
		});

		it('that is missing is no departure while the store does not answer again', async t => {
			await withFleet(async fleet => {
				const copy = fleet.store.createCopy();
				await fleet.addNode('n1');
				const second = await fleet.addNode('n2');
				fleet.store.restoreCopy(copy);
				second.store.isCutOff = true;
				await fleet.clock.advance(10);
				second.store.isCutOff = false;
				await fleet.clock.advance(200);
				second.store.isCutOff = true;
				await fleet.clock.advance(2 * lapseMs);
				t.is(second.membership.findMember('n1')?.state, MemberState.ALIVE);
				second.store.isCutOff = false;
				await fleet.clock.advance(lapseMs);
				t.is(second.membership.findMember('n1')?.state, MemberState.ALIVE);
			});
		});
	});
});
