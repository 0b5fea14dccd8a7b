/** Runs processes of one node, and plays its upstream, for the tests of announcements. */
import {SystemClock} from '@ebonylead/base/base.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {MemberState, UpstreamState} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {type FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {LocalUpstream} from '@ebonylead/upstreams/local-upstream.js';
import {upstreamConditions, type UpstreamCheck, type UpstreamCondition} from '@ebonylead/upstreams/upstream-check.js';
import {Registry} from 'prom-client';
import {AnnouncementHandler, type StampedAnnouncement} from '../announcement-handler.js';
import {MemberDirectory} from '../member-directory.js';
import {UpstreamConfirmation} from '../upstream-confirmation.js';

const log = createLogger('silent');

export function buildAnnouncement(state: 'ready' | 'draining', sequence: number, startedAt = 1): StampedAnnouncement {
	return {
		announcement: {
			service: 's', url: 'http://127.0.0.1:9', slots: 3, connections: 9, state, instance: 'i', startedAt,
		},
		stamp: {instance: 'i', startedAt, sequence},
	};
}

/** Runs a process of one node against the store, which holds what earlier processes wrote; `runBefore` is called before the process has read it. */
export async function withProcess(
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
export async function waitForAbsence(store: FakeRowStore): Promise<void> {
	await waitUntil(() => {
		const row = JSON.parse(store.findValue('members', 'n') ?? '{}') as {service?: string; upstreamState?: UpstreamState};
		return row.service === 's' && row.upstreamState === UpstreamState.ABSENT;
	}, 'write the absence');
}

/** An upstream that answers questions as the test sets it. */
export class FakeCheck implements UpstreamCheck {
	condition: UpstreamCondition = upstreamConditions.ready;
	count = 0;

	async check(): Promise<UpstreamCondition> {
		this.count++;
		return this.condition;
	}
}

/** An upstream that answers a question when the test tells it to. */
export class PendingCheck implements UpstreamCheck {
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
export async function writeReadyUpstream(store: FakeRowStore): Promise<void> {
	await withProcess(store, async handler => {
		await handler.handleAnnouncement(buildAnnouncement('ready', 1));
		await waitUntil(() => store.findValue('members', 'n')?.includes('"upstreamState":1') ?? false, 'write the upstream');
	});
}

/** Long enough for the consequences of an answer, in milliseconds. */
export const settleMs = 50;
