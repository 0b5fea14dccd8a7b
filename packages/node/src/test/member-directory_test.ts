import {createLogger} from '@ebonylead/base/logs.js';
import {SystemClock} from '@ebonylead/base/base.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {MemberDirectory, memberTable} from '../member-directory.js';
import {encodeMember, type RecordedUpstream} from '../member-row.js';

const waitTimeoutMs = 5000;
const self: Member = {
	id: 'n1',
	incarnation: 0,
	dataCentre: 'a',
	region: 'r',
	host: '10.0.0.1',
	peerPort: 1,
	meshPort: 2,
	state: MemberState.ALIVE,
	service: 's',
	upstreamState: UpstreamState.READY,
	slots: 3,
	instance: 1,
};
const upstream: RecordedUpstream = {
	announcement: {
		service: 's', url: 'http://10.0.0.1:9', slots: 3, connections: 9, state: 'ready', instance: 'i-1',
	},
	stamp: {instance: 'i-1', startedAt: 5, sequence: 1},
};

type Restored = {count: number; upstream?: RecordedUpstream};

async function withDirectory(store: FakeRowStore, run: (directory: MemberDirectory, membership: Membership, restored: Restored) => Promise<void>): Promise<void> {
	const controller = new AbortController();
	const membership = new Membership();
	const restored: Restored = {count: 0};
	const directory = new MemberDirectory({
		store, membership, clock: new SystemClock(), log: createLogger('silent'), self, onRestored(_member, found) {
			restored.count++;
			restored.upstream = found;
		},
	});
	const running = directory.run(controller.signal);
	try {
		await run(directory, membership, restored);
	} finally {
		controller.abort();
		await running;
	}
}

describe('member directory', () => {
	describe('row of this node', () => {
		it('is written at the start and with each change', async t => {
			const store = new FakeRowStore();
			await withDirectory(store, async directory => {
				await waitUntil(() => store.hasRow(memberTable, 'n1'), 'the directory', waitTimeoutMs);
				await directory.update({upstreamState: UpstreamState.DRAINING}, waitTimeoutMs, upstream);
				t.like(JSON.parse(store.findValue(memberTable, 'n1')!), {upstreamState: UpstreamState.DRAINING, upstream});
			});
		});

		it('ends with the last change although responses of the store are lost', async t => {
			const store = new FakeRowStore();
			await withDirectory(store, async directory => {
				store.lostResponses = 3;
				for (const slots of [4, 5, 6]) {
					await directory.update({slots}, waitTimeoutMs);
				}

				t.like(JSON.parse(store.findValue(memberTable, 'n1')!), {slots: 6});
			});
		});

		it('keeps the upstream when only the node stops', async t => {
			const store = new FakeRowStore();
			await withDirectory(store, async directory => {
				await directory.update({}, waitTimeoutMs, upstream);
				await directory.update({state: MemberState.LEFT}, waitTimeoutMs);
				t.like(JSON.parse(store.findValue(memberTable, 'n1')!), {state: MemberState.LEFT, upstream});
			});
		});

		it('keeps an upstream that drains, for the next process of the node', async t => {
			const store = new FakeRowStore();
			await withDirectory(store, async directory => {
				await directory.update({upstreamState: UpstreamState.DRAINING}, waitTimeoutMs, upstream);
				await directory.update({state: MemberState.LEFT}, waitTimeoutMs);
				t.like(JSON.parse(store.findValue(memberTable, 'n1')!), {state: MemberState.LEFT, upstreamState: UpstreamState.DRAINING, upstream});
			});
		});

		it('is removed when the node leaves after its upstream has ended', async t => {
			const store = new FakeRowStore();
			await withDirectory(store, async directory => {
				await directory.update({upstreamState: UpstreamState.DRAINING}, waitTimeoutMs);
				await directory.update({state: MemberState.LEFT, upstreamState: UpstreamState.ABSENT}, waitTimeoutMs);
				t.is(store.findValue(memberTable, 'n1'), undefined);
			});
		});

		it('gives a later process the upstream that an earlier one recorded', async t => {
			const store = new FakeRowStore();
			store.setValue(memberTable, 'n1', encodeMember(self, upstream));
			await withDirectory(store, async (_directory, _membership, restored) => {
				await waitUntil(() => restored.count > 0, 'the directory', waitTimeoutMs);
				t.deepEqual(restored, {count: 1, upstream});
			});
		});
	});

	describe('rows of others', () => {
		it('are followed, also after the store dropped its history', async t => {
			const store = new FakeRowStore();
			store.setValue(memberTable, 'n2', encodeMember({...self, id: 'n2'}));
			await withDirectory(store, async (_directory, membership) => {
				await waitUntil(() => membership.listReady('s').length === 2, 'the directory', waitTimeoutMs);
				store.removeHistory();
				store.setValue(memberTable, 'n2', undefined);
				await waitUntil(() => membership.findMember('n2')?.state === MemberState.LEFT, 'the directory', waitTimeoutMs);
				t.is(membership.listReady('s').length, 1);
			});
		});

		it('that are unreadable leave the last known record', async t => {
			const store = new FakeRowStore();
			store.setValue(memberTable, 'n2', encodeMember({...self, id: 'n2'}));
			await withDirectory(store, async (_directory, membership) => {
				await waitUntil(() => membership.listReady('s').length === 2, 'the directory', waitTimeoutMs);
				store.setValue(memberTable, 'n2', '{"host":');
				store.setValue(memberTable, 'n3', encodeMember({...self, id: 'n3'}));
				await waitUntil(() => membership.findMember('n3') !== undefined, 'the directory', waitTimeoutMs);
				t.is(membership.findMember('n2')?.state, MemberState.ALIVE);
			});
		});

		it('stay known while the store is down', async t => {
			const store = new FakeRowStore();
			store.setValue(memberTable, 'n2', encodeMember({...self, id: 'n2'}));
			await withDirectory(store, async (directory, membership) => {
				await waitUntil(() => membership.listReady('s').length === 2, 'the directory', waitTimeoutMs);
				store.isDown = true;
				store.removeHistory();
				await waitUntil(() => directory.isUnavailable, 'the directory', waitTimeoutMs);
				t.is(membership.listReady('s').length, 2);
			});
		});
	});
});
