import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {AdmissionControl} from '../admission.js';
import {
	buildRequest, release, submit, waitForImmediate,
} from './admission-helpers.js';

/** Creates an admission control whose calls took 100 ms so far, and whose limit has just begun. */
async function createLimited(clock: FakeClock, rate: number): Promise<AdmissionControl> {
	const control = new AdmissionControl(clock, 6);
	const first = await control.admit(buildRequest());
	await clock.advance(100);
	release(first);
	control.setRateLimit(rate);
	return control;
}

describe('admission to an upstream that names a limit', () => {
	it('queues a call for the next request of the limit, although slots are free', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 5);
		const waiting = submit(control, buildRequest());
		await clock.advance(150);
		t.is(waiting.result, undefined);
		await clock.advance(100);
		t.is(waiting.result?.kind, 'admitted');
	});

	it('counts calls that were queued before the limit began', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		const running = await control.admit(buildRequest());
		const queued = Array.from({length: 3}, () => submit(control, buildRequest()));
		control.setRateLimit(2);
		release(running);
		await clock.advance(50);
		t.true(queued.every(({result}) => result === undefined));
	});

	it('counts suspects, which run alone', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 5);
		const suspect = submit(control, buildRequest({isExclusive: true}));
		await clock.advance(100);
		t.is(suspect.result, undefined);
		await clock.advance(150);
		t.is(suspect.result?.kind, 'admitted');
	});

	it('refuses at once a call that gets no request of the limit before its deadline, and tells when one is free', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 1);
		submit(control, buildRequest());
		const late = await control.admit(buildRequest({deadline: clock.now() + 1500}));
		t.is(late.kind, 'refused');
		if (late.kind === 'refused') {
			t.is(late.refusal.cause, 'rate-limit');
			t.is(late.refusal.outcome, 'not-run');
			t.is(late.refusal.lacking, 'rate');
			t.is(late.refusal.retryAfter, 2000);
		}
	});

	it('gives the requests of the limit to the highest priority first', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 5);
		const low = submit(control, buildRequest({priority: 2}));
		const high = submit(control, buildRequest({priority: 0}));
		await clock.advance(220);
		t.is(high.result?.kind, 'admitted');
		t.is(low.result, undefined);
	});

	it('reports as much load as the limit leaves no room for', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 5);
		t.true(control.load >= 1);
		await clock.advance(1000);
		t.is(control.load, 0);
		const running = await control.admit(buildRequest());
		// A limit of 5 calls of 100 ms a second keeps half a slot busy.
		t.true(control.load >= 2);
		release(running);
	});

	it('serves all queued calls when the limit ends', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 1);
		const waiting = Array.from({length: 3}, () => submit(control, buildRequest()));
		await waitForImmediate();
		control.setRateLimit(undefined);
		await waitForImmediate();
		t.true(waiting.every(({result}) => result?.kind === 'admitted'));
	});

	it('refuses at once a call that would miss its objective, as no request of the limit is left idle for it', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 2);
		submit(control, buildRequest({objective: clock.now() + 800}));
		const late = await control.admit(buildRequest({objective: clock.now() + 800}));
		t.is(late.kind === 'refused' && late.refusal.cause, 'rate-limit');
	});

	it('refuses a queued call when more urgent ones have taken its requests, long before its deadline', async t => {
		const clock = new FakeClock();
		const control = await createLimited(clock, 2);
		const low = submit(control, buildRequest({priority: 2, objective: clock.now() + 800, deadline: clock.now() + 8000}));
		const high = Array.from({length: 3}, () => submit(control, buildRequest({priority: 0, objective: clock.now() + 4000, deadline: clock.now() + 8000})));
		await clock.advance(900);
		t.is(low.result?.kind === 'refused' && low.result.refusal.cause, 'rate-limit');
		await clock.advance(1000);
		t.true(high.every(({result}) => result?.kind === 'admitted'));
	});
});
