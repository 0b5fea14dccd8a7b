import {createLogger} from '@ebonylead/base/logs.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {LocalUpstream} from '../local-upstream.js';
import {type UpstreamAnnouncement} from '../upstreams.js';

const announcement: UpstreamAnnouncement = {
	service: 's', url: 'http://127.0.0.1:1', slots: 2, connections: 4, state: 'ready', instance: 'i', startedAt: 1, version: 'v2',
};

describe('an upstream of which another node tells that a process leaves', () => {
	// Guards against a leave that is compared with the start of an earlier process only for equality.
	it('closes if the process has the same or a later start under its identity, and for no other', async t => {
		for (const [incarnation, state] of [['i 1', 'draining'], ['i 2', 'draining'], ['i 0', 'ready'], ['j 2', 'ready'], ['i ', 'ready']] as const) {
			const upstream = new LocalUpstream(new FakeClock(), createLogger('silent'));
			upstream.applyAnnouncement(announcement);
			upstream.mergeNotice({
				incarnation, rateLimit: undefined, isLeaving: true, age: 0,
			});
			t.is(upstream.status.value.state, state, incarnation);
			upstream.applyAnnouncement(announcement);
			t.is(upstream.status.value.state, state, `${incarnation}, after a heartbeat`);
			upstream.applyAnnouncement({...announcement, startedAt: 3});
			t.is(upstream.status.value.state, 'ready', 'the next process');
			await upstream.close();
		}
	});
});

describe('an upstream whose version is withdrawn', () => {
	it('stays closed although its heartbeats say that it is ready, and is used again when that ends', async t => {
		const upstream = new LocalUpstream(new FakeClock(), createLogger('silent'));
		upstream.applyAnnouncement(announcement);
		upstream.setWithdrawnVersion('v2');
		upstream.applyAnnouncement(announcement);
		t.is(upstream.status.value.state, 'draining');
		t.false(upstream.hasLeft);
		upstream.setWithdrawnVersion(undefined);
		t.is(upstream.status.value.state, 'ready');
		await upstream.close();
	});

	it('is used if a process of another version starts in its place', async t => {
		const upstream = new LocalUpstream(new FakeClock(), createLogger('silent'));
		upstream.applyAnnouncement(announcement);
		upstream.setWithdrawnVersion('v2');
		upstream.applyAnnouncement({...announcement, startedAt: 2, version: 'v1'});
		t.is(upstream.status.value.state, 'ready');
		await upstream.close();
	});

	it('does not become ready again if it left meanwhile', async t => {
		const upstream = new LocalUpstream(new FakeClock(), createLogger('silent'));
		upstream.applyAnnouncement(announcement);
		upstream.setWithdrawnVersion('v2');
		upstream.applyAnnouncement({...announcement, state: 'draining'});
		upstream.setWithdrawnVersion(undefined);
		t.is(upstream.status.value.state, 'draining');
		await upstream.close();
	});
});
