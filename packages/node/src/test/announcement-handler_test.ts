import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '@ebonylead/base/base.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {upstreamConditions, type UpstreamCheck, type UpstreamCondition} from '@ebonylead/upstreams/upstream-check.js';
import {Registry} from 'prom-client';
import {AnnouncementHandler, type StampedAnnouncement} from '../announcement-handler.js';
import {MemberDirectory} from '../member-directory.js';
import {UpstreamConfirmation} from '../upstream-confirmation.js';

const log = createLogger('silent');

function buildAnnouncement(state: 'ready' | 'draining', sequence: number, startedAt = 1): StampedAnnouncement {
	return {
		announcement: {
			service: 's', url: 'http://127.0.0.1:9', slots: 3, connections: 9, state, instance: 'i', startedAt,
		},
		stamp: {instance: 'i', startedAt, sequence},
	};
}

/** Runs a process of one node against the store, which holds what earlier processes wrote; `runBefore` is called before the process has read it. */
async function withProcess(
	store: FakeRowStore,
	run: (handler: AnnouncementHandler, localUpstream: LocalUpstream) => Promise<void>,
	runBefore: (handler: AnnouncementHandler) => Promise<void> = async () => undefined,
	upstreamCheck?: UpstreamCheck,
): Promise<void> {
	const controller = new AbortController();
	const localUpstream = new LocalUpstream(new SystemClock(), log);
	let isRestored = false;
	const directory = new MemberDirectory({
		store,
		membership: new Membership(),
		clock: new SystemClock(),
		log,
		self: {
			id: 'n',
			incarnation: 0,
			dataCentre: 'a',
			region: 'r',
			host: '127.0.0.1',
			peerPort: 1,
			meshPort: 1,
			state: MemberState.ALIVE,
			service: '',
			upstreamState: UpstreamState.ABSENT,
			slots: 0,
			instance: 1,
		},
		onRestored(member, upstream) {
			isRestored = true;
			if (member && upstream) {
				handler.restore(upstream, member.upstreamState);
			}
		},
	});
	const clock = new SystemClock();
	const handler = new AnnouncementHandler({
		localUpstream, directory, confirmation: new UpstreamConfirmation({
			check: upstreamCheck, registry: new Registry(), clock, log,
		}), clock, log,
	});
	void handler.run();
	const running = directory.run(controller.signal);
	try {
		await runBefore(handler);
		await waitUntil(() => isRestored, 'restore');
		await run(handler, localUpstream);
	} finally {
		controller.abort();
		await running;
		await localUpstream.close();
	}
}

/** Waits until the store holds that the upstream is absent. */
async function waitForAbsence(store: FakeRowStore): Promise<void> {
	await waitUntil(() => {
		const row = JSON.parse(store.findValue('members', 'n') ?? '{}') as {service?: string; upstreamState?: UpstreamState};
		return row.service === 's' && row.upstreamState === UpstreamState.ABSENT;
	}, 'write the absence');
}

/** An upstream that answers questions as the test sets it. */
class FakeCheck implements UpstreamCheck {
	condition: UpstreamCondition = upstreamConditions.ready;
	count = 0;

	async check(): Promise<UpstreamCondition> {
		this.count++;
		return this.condition;
	}
}

/** An upstream that answers a question when the test tells it to. */
class PendingCheck implements UpstreamCheck {
	count = 0;
	answer: (condition: UpstreamCondition) => void = () => undefined;

	async check(): Promise<UpstreamCondition> {
		this.count++;
		return new Promise(resolve => {
			this.answer = resolve;
		});
	}
}

/** Lets a process of the node write that the upstream is ready. */
async function writeReadyUpstream(store: FakeRowStore): Promise<void> {
	await withProcess(store, async handler => {
		await handler.handleAnnouncement(buildAnnouncement('ready', 1));
		await waitUntil(() => store.findValue('members', 'n')?.includes('"upstreamState":1') ?? false, 'write the upstream');
	});
}

/** Long enough for the consequences of an answer. */
const settleMs = 50;

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
