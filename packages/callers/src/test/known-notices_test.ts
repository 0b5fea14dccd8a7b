import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {decodeNotice, encodeNotice, type CarriedNotice} from '@ebonylead/upstreams/upstream-notice.js';
import {KnownNotices} from '../known-notices.js';

const member: Member = {
	id: 'm', incarnation: 3, dataCentre: 'a', region: 'r', host: 'h', peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 4, instance: 1,
};

function buildText(change: Partial<CarriedNotice>): string {
	return encodeNotice({
		incarnation: 'i 1', rateLimit: undefined, isLeaving: false, age: 0, ...change,
	});
}

describe('what a node knows of upstreams by their responses', () => {
	it('is carried by later attempts, with its age', async t => {
		const clock = new FakeClock();
		const notices = new KnownNotices(clock);
		notices.record(member, {text: buildText({rateLimit: 5}), isFromUpstream: true, sentAt: 0});
		await clock.advance(700);
		t.deepEqual(decodeNotice(notices.encode('m')), {
			incarnation: 'i 1', rateLimit: 5, isLeaving: false, age: 700,
		});
		t.is(notices.encode('other'), undefined);
	});

	it('ends with a response of the upstream, but not with a refusal of its sidecar, which may have restarted', async t => {
		const clock = new FakeClock();
		const notices = new KnownNotices(clock);
		notices.record(member, {text: buildText({rateLimit: 5}), isFromUpstream: true, sentAt: 0});
		await clock.advance(10);
		notices.record(member, {text: undefined, isFromUpstream: false, sentAt: 5});
		t.not(notices.encode('m'), undefined);
		notices.record(member, {text: undefined, isFromUpstream: true, sentAt: 5});
		t.is(notices.encode('m'), undefined);
	});

	it('is not ended by a response that may be older', async t => {
		const clock = new FakeClock();
		const notices = new KnownNotices(clock);
		await clock.advance(10);
		notices.record(member, {text: buildText({rateLimit: 5, isLeaving: true}), isFromUpstream: true, sentAt: 0});
		notices.record(member, {text: undefined, isFromUpstream: true, sentAt: 9});
		t.deepEqual(decodeNotice(notices.encode('m')), {
			incarnation: 'i 1', rateLimit: 5, isLeaving: true, age: 0,
		});
	});

	it('holds for one upstream process', t => {
		const clock = new FakeClock();
		const notices = new KnownNotices(clock);
		notices.record(member, {text: buildText({rateLimit: 5, isLeaving: true}), isFromUpstream: true, sentAt: 0});
		notices.record(member, {text: buildText({incarnation: 'i 2', rateLimit: 9}), isFromUpstream: true, sentAt: 0});
		t.deepEqual(decodeNotice(notices.encode('m')), {
			incarnation: 'i 2', rateLimit: 9, isLeaving: false, age: 0,
		});
		t.false(notices.isLeaving(member));
	});

	describe('that leave', () => {
		it('excludes them until their record changes, or a new attempt may find another one', async t => {
			const clock = new FakeClock();
			const notices = new KnownNotices(clock);
			notices.record(member, {text: buildText({isLeaving: true}), isFromUpstream: true, sentAt: 0});
			t.true(notices.isLeaving(member));
			t.false(notices.isLeaving({...member, incarnation: 4}));
			await clock.advance(5000);
			t.false(notices.isLeaving(member));
			// The attempt carries it still, so that the sidecar refuses it if the upstream is the same.
			t.true(decodeNotice(notices.encode('m'))?.isLeaving);
		});

		it('is not ended by a refusal', async t => {
			const clock = new FakeClock();
			const notices = new KnownNotices(clock);
			notices.record(member, {text: buildText({isLeaving: true}), isFromUpstream: true, sentAt: 0});
			await clock.advance(100);
			notices.record(member, {text: undefined, isFromUpstream: false, sentAt: 50});
			t.true(notices.isLeaving(member));
		});
	});
});
