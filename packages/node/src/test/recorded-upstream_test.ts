import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {upstreamConditions} from '@ebonylead/upstreams/upstream-check.js';
import {type AnnouncementHandler} from '../announcement-handler.js';
import {
	buildAnnouncement, withProcess, waitForAbsence, FakeCheck, PendingCheck, writeReadyUpstream, settleMs,
} from './announcement-helpers.js';

describe('an upstream that an earlier process of the node recorded as ready', () => {
	it('is used without a heartbeat if it says that it is ready', async t => {
		const store = new FakeRowStore();
		const check = new FakeCheck();
		await writeReadyUpstream(store);
		await withProcess(store, async (_handler, localUpstream) => {
			await waitUntil(() => localUpstream.status.value.state === 'ready', 'use the upstream');
			t.is(check.count, 1);
		}, undefined, check);
	});

	// Guards against a leave that was acknowledged, and lost with the process that knew of it.
	it('is not used if it says that it leaves, also when a late heartbeat arrives; its row says so', async t => {
		const store = new FakeRowStore();
		const check = new FakeCheck();
		await writeReadyUpstream(store);
		check.condition = upstreamConditions.notReady;
		await withProcess(store, async (handler, localUpstream) => {
			await waitForAbsence(store);
			await handler.handleAnnouncement(buildAnnouncement('ready', 2));
			await sleep(settleMs);
			t.is(localUpstream.status.value.state, 'absent');
		}, undefined, check);
	});

	// Guards against a write and a change of members at each heartbeat of an upstream that fails for long.
	it('costs no further write while its heartbeats go on and it says that it fails', async t => {
		const store = new FakeRowStore();
		const check = new FakeCheck();
		await writeReadyUpstream(store);
		check.condition = upstreamConditions.notReady;
		await withProcess(store, async handler => {
			await waitForAbsence(store);
			await sleep(settleMs);
			const {revision} = store.createCopy();
			for (const sequence of [2, 3, 4]) {
				await handler.handleAnnouncement(buildAnnouncement('ready', sequence));
				await sleep(settleMs);
			}

			t.is(check.count, 4);
			t.is(store.createCopy().revision, revision);
		}, undefined, check);
	});

	it('is used by a later heartbeat when it no longer says that it fails', async t => {
		const store = new FakeRowStore();
		const check = new FakeCheck();
		await writeReadyUpstream(store);
		check.condition = upstreamConditions.notReady;
		await withProcess(store, async (handler, localUpstream) => {
			await waitForAbsence(store);
			check.condition = upstreamConditions.ready;
			await handler.handleAnnouncement(buildAnnouncement('ready', 2));
			await waitUntil(() => localUpstream.status.value.state === 'ready', 'use the upstream');
			t.pass();
		}, undefined, check);
	});

	// Guards against a late heartbeat that counts as an answer where the upstream has no free slot for the question.
	it('is not used by a heartbeat that may be late if it does not answer, and is asked again until it does', async t => {
		for (const [answer, state] of [[upstreamConditions.notReady, 'absent'], [upstreamConditions.ready, 'ready']] as const) {
			const store = new FakeRowStore();
			const check = new FakeCheck();
			await writeReadyUpstream(store);
			check.condition = upstreamConditions.unanswered;
			await withProcess(store, async (handler, localUpstream) => {
				await handler.handleAnnouncement(buildAnnouncement('ready', 2));
				await sleep(settleMs);
				t.is(localUpstream.status.value.state, 'absent');
				const {count} = check;
				check.condition = answer;
				await waitUntil(() => check.count > count, 'ask again');
				await sleep(settleMs);
				t.is(localUpstream.status.value.state, state);
			}, undefined, check);
		}
	});

	// Guards against a question that could not be put, as there was no configuration, and counted as answered.
	it('is not used by a late heartbeat while it can not be asked, and is asked when the rules change', async t => {
		for (const [answer, state] of [[upstreamConditions.notReady, 'absent'], [upstreamConditions.ready, 'ready']] as const) {
			const store = new FakeRowStore();
			const check = new FakeCheck();
			await writeReadyUpstream(store);
			check.condition = upstreamConditions.unasked;
			await withProcess(store, async (handler, localUpstream) => {
				await handler.handleAnnouncement(buildAnnouncement('ready', 2));
				await sleep(settleMs);
				t.is(localUpstream.status.value.state, 'absent');
				check.condition = answer;
				handler.handleRulesChange();
				await sleep(settleMs);
				t.is(localUpstream.status.value.state, state);
			}, undefined, check);
		}
	});

	it('is not asked again when the rules change, once it is used or has left', async t => {
		const store = new FakeRowStore();
		const check = new FakeCheck();
		await writeReadyUpstream(store);
		await withProcess(store, async (handler, localUpstream) => {
			await waitUntil(() => localUpstream.status.value.state === 'ready', 'use the upstream');
			handler.handleRulesChange();
			await handler.handleEnd('i', undefined);
			handler.handleRulesChange();
			t.is(check.count, 1);
			t.is(localUpstream.status.value.state, 'draining');
		}, undefined, check);
	});

	it('is not used if it leaves before it has answered', async t => {
		for (const leave of [
			async (handler: AnnouncementHandler) => handler.handleEnd('i', undefined),
			async (handler: AnnouncementHandler) => handler.handleAnnouncement(buildAnnouncement('draining', 2)),
		]) {
			const store = new FakeRowStore();
			await writeReadyUpstream(store);
			const check = new PendingCheck();
			await withProcess(store, async (handler, localUpstream) => {
				await leave(handler);
				check.answer(upstreamConditions.ready);
				await sleep(settleMs);
				t.is(localUpstream.status.value.state, 'draining');
				t.true(store.findValue('members', 'n')!.includes('"hasLeft":true'));
			}, undefined, check);
		}
	});

	it('needs no answer if it started after this process of the node', async t => {
		const check = new FakeCheck();
		check.condition = upstreamConditions.notReady;
		await withProcess(new FakeRowStore(), async (handler, localUpstream) => {
			await handler.handleAnnouncement(buildAnnouncement('ready', 1, Date.now() + 60_000));
			t.is(localUpstream.status.value.state, 'ready');
			t.is(check.count, 0);
		}, undefined, check);
	});
});
