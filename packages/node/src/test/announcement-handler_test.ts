import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {upstreamConditions} from '@ebonylead/upstreams/upstream-check.js';
import {type AnnouncementHandler} from '../announcement-handler.js';
import {
	buildAnnouncement, withProcess, waitForAbsence, PendingCheck, writeReadyUpstream, settleMs,
} from './announcement-helpers.js';

describe('announcements to a node', () => {
	it('do not make an upstream ready that left and then fell silent, after a restart of the node', async t => {
		const store = new FakeRowStore();
		await withProcess(store, async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1));
			await handler.handleEnd('i', 1);
			localUpstream.handleConnectionRefused();
			await waitForAbsence(store);
		});
		await withProcess(store, async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 2));
			t.is(localUpstream.status.value.state, 'draining');
			await handler.handleAnnouncement(buildAnnouncement('ready', 1, 2));
			t.is(localUpstream.status.value.state, 'ready');
		});
	});

	it('of before the last one are ignored after a restart of the node', async t => {
		const store = new FakeRowStore();
		await withProcess(store, async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 5));
			localUpstream.handleConnectionRefused();
			await waitForAbsence(store);
		});
		await withProcess(store, async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 4));
			t.is(localUpstream.status.value.state, 'absent');
			await handler.handleAnnouncement(buildAnnouncement('ready', 6));
			t.is(localUpstream.status.value.state, 'ready');
		});
	});

	it('do not make an upstream ready whose end arrived, without its start time, before the row of the node was read', async t => {
		const store = new FakeRowStore();
		await withProcess(store, async handler => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1));
			await waitUntil(() => store.findValue('members', 'n')?.includes('"upstreamState":1') ?? false, 'write the upstream');
		});
		store.isDown = true;
		await withProcess(store, async (_handler, localUpstream) => {
			t.not(localUpstream.status.value.state, 'ready');
		}, async handler => {
			await handler.handleEnd('i', undefined);
			store.isDown = false;
		});
		await withProcess(store, async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 2));
			t.not(localUpstream.status.value.state, 'ready', 'after one more restart');
		});
	});

	// Guards against a leave that the row tells of, and that was left out as a late heartbeat had come first.
	it('do not keep an upstream ready that has left, if a late one arrives before the row of the node is read', async t => {
		const store = new FakeRowStore();
		await withProcess(store, async handler => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1));
			await handler.handleEnd('i', 1);
			await waitUntil(() => store.findValue('members', 'n')?.includes('"hasLeft":true') ?? false, 'write the leave');
		});
		store.isDown = true;
		await withProcess(store, async (_handler, localUpstream) => {
			t.is(localUpstream.status.value.state, 'draining');
		}, async handler => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 2));
			store.isDown = false;
		});
	});

	// Guards against the heartbeat of another writer, after which the upstream's own ones were ignored but acknowledged.
	it('of another writer, without the start time of the process, do not outdate its leave', async t => {
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1));
			const {announcement, stamp} = buildAnnouncement('ready', 9);
			await handler.handleAnnouncement({announcement: {...announcement, startedAt: undefined}, stamp: {...stamp, startedAt: undefined}});
			t.is(localUpstream.status.value.state, 'ready');
			await handler.handleAnnouncement(buildAnnouncement('draining', 2));
			t.is(localUpstream.status.value.state, 'draining');
		});
	});

	it('of a leave count also out of order, as a leave is final', async t => {
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 3));
			await handler.handleAnnouncement(buildAnnouncement('draining', 2));
			t.is(localUpstream.status.value.state, 'draining');
		});
	});

	it('of a leave out of order keep a process out of use that is being asked', async t => {
		const check = new PendingCheck();
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 3));
			await handler.handleAnnouncement(buildAnnouncement('draining', 2));
			check.answer(upstreamConditions.ready);
			await sleep(settleMs);
			t.is(localUpstream.status.value.state, 'draining');
		}, undefined, check);
	});

	// Guards against a process that is taken out of use by the late end of the one before, which had the same identity.
	it('of the end of an earlier process do not end the next one with the same identity', async t => {
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1, 2));
			await handler.handleEnd('i', 1);
			t.is(localUpstream.status.value.state, 'ready');
			await handler.handleAnnouncement(buildAnnouncement('ready', 2, 2));
			await handler.handleEnd('i', 2);
			t.is(localUpstream.status.value.state, 'draining');
		});
	});

	it('make the next process of an upstream ready that started after the end of the one before, although neither the row nor the end told when that had started', async t => {
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleEnd('i', undefined);
			await handler.handleAnnouncement(buildAnnouncement('ready', 7, Date.now() - 1000));
			t.not(localUpstream.status.value.state, 'ready');
			await handler.handleAnnouncement(buildAnnouncement('ready', 1, Date.now() + 1000));
			t.is(localUpstream.status.value.state, 'ready');
		});
	});

	// Guards against review/12: the end of a process that had started again under its identity was acknowledged and ignored.
	it('of the end of a later process with the same identity end the earlier one, also before the row is read, and write its start', async t => {
		for (const isBeforeRow of [true, false]) {
			const store = new FakeRowStore();
			await writeReadyUpstream(store);
			store.isDown = isBeforeRow;
			await withProcess(store, async (handler, localUpstream) => {
				await handler.handleEnd('i', 2);
				t.is(localUpstream.status.value.state, 'draining');
				await handler.handleAnnouncement(buildAnnouncement('ready', 3, 2));
				t.is(localUpstream.status.value.state, 'draining');
				await handler.handleAnnouncement(buildAnnouncement('ready', 1, 3));
				t.is(localUpstream.status.value.state, 'ready');
			}, async handler => {
				if (isBeforeRow) {
					await handler.handleEnd('i', 2);
				}

				store.isDown = false;
			});
		}
	});

	it('of another process with the same identity change the row once, although the state stays the same', async t => {
		const store = new FakeRowStore();
		await withProcess(store, async handler => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1, 1));
			await waitUntil(() => store.findValue('members', 'n')?.includes('"upstreamState":1') ?? false, 'write the upstream');
			await sleep(settleMs);
			const {revision} = store.createCopy();
			for (const sequence of [1, 2, 3]) {
				await handler.handleAnnouncement(buildAnnouncement('ready', sequence, 2));
				await sleep(settleMs);
			}

			t.true(store.findValue('members', 'n')!.includes('"startedAt":2'));
			t.is(store.createCopy().revision, revision + 1);
		});
	});

	// Guards against review/8: such a heartbeat took the place of the upstream, whose leave was then acknowledged and ignored.
	it('of another writer, with another identity and no start time, do not outdate its heartbeats or its leave', async t => {
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1));
			for (const state of ['ready', 'draining'] as const) {
				const {announcement} = buildAnnouncement(state, 9);
				await handler.handleAnnouncement({announcement: {...announcement, instance: 'x', startedAt: undefined}, stamp: {instance: 'x', startedAt: undefined, sequence: 9}});
				await handler.handleAnnouncement({announcement: {...announcement, startedAt: undefined}, stamp: {instance: 'i', startedAt: undefined, sequence: 9}});
				t.is(localUpstream.status.value.state, 'ready');
			}

			t.is(localUpstream.instance, 'i');
			await handler.handleEnd('i', 1);
			t.is(localUpstream.status.value.state, 'draining');
		});
	});

	it('of a leave count for the process in use while a newer one is being asked', async t => {
		for (const leave of [
			async (handler: AnnouncementHandler) => handler.handleEnd('i', 1),
			async (handler: AnnouncementHandler) => handler.handleAnnouncement(buildAnnouncement('draining', 2)),
		]) {
			const store = new FakeRowStore();
			await writeReadyUpstream(store);
			const check = new PendingCheck();
			await withProcess(store, async (handler, localUpstream) => {
				await waitUntil(() => check.count === 1, 'ask');
				check.answer(upstreamConditions.ready);
				await waitUntil(() => localUpstream.status.value.state === 'ready', 'use the upstream');
				const {announcement} = buildAnnouncement('ready', 1, 2);
				await handler.handleAnnouncement({announcement: {...announcement, instance: 'j'}, stamp: {instance: 'j', startedAt: 2, sequence: 1}});
				t.is(localUpstream.instance, 'i');
				await leave(handler);
				t.is(localUpstream.status.value.state, 'draining');
				t.true(store.findValue('members', 'n')!.includes('"hasLeft":true'));
			}, undefined, check);
		}
	});
});
