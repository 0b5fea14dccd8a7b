import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {AdmissionControl} from '../admission.js';
import {type Admission} from '../admission-request.js';
import {
	buildRequest, release, submit, waitForImmediate,
} from './admission-helpers.js';

describe('admission under overload', () => {
	/** Occupies all slots, after one call that sets the mean duration. */
	async function createSaturated(clock: FakeClock, slots: number, durationMs: number): Promise<{control: AdmissionControl; running: Admission[]}> {
		const control = new AdmissionControl(clock, slots);
		const sample = await control.admit(buildRequest());
		await clock.advance(durationMs);
		release(sample);
		const running = await Promise.all(Array.from({length: slots}, async () => control.admit(buildRequest())));
		return {control, running};
	}

	it('gives a slot to the highest priority, whatever arrived first', async t => {
		const {control, running} = await createSaturated(new FakeClock(), 1, 100);
		const lowPriority = submit(control, buildRequest({priority: 2}));
		const highPriority = submit(control, buildRequest({priority: 0}));
		release(running[0]!);
		await waitForImmediate();
		t.is(highPriority.result?.kind, 'admitted');
		t.is(lowPriority.result, undefined);
	});

	it('gives a slot to the earliest objective within one priority', async t => {
		const {control, running} = await createSaturated(new FakeClock(), 1, 100);
		const later = submit(control, buildRequest({objective: 2000}));
		const sooner = submit(control, buildRequest({objective: 1000}));
		release(running[0]!);
		await waitForImmediate();
		t.is(sooner.result?.kind, 'admitted');
		t.is(later.result, undefined);
	});

	it('refuses at once a call that would miss its objective behind queued ones', async t => {
		const clock = new FakeClock();
		const {control} = await createSaturated(clock, 1, 100);
		submit(control, buildRequest({objective: clock.now() + 5000}));
		submit(control, buildRequest({objective: clock.now() + 150}));
		const refused = submit(control, buildRequest({objective: clock.now() + 150}));
		await waitForImmediate();
		t.is(refused.result?.kind, 'refused');
		t.true(refused.result?.kind === 'refused' && refused.result.refusal.retryAfter! >= 100);
	});

	it('queues one call that will miss its objective, for a slot that calls in time leave idle', async t => {
		const clock = new FakeClock();
		const {control, running} = await createSaturated(clock, 1, 100);
		const late = submit(control, buildRequest({objective: clock.now() + 50}));
		const timely = submit(control, buildRequest({objective: clock.now() + 5000}));
		release(running[0]!);
		await waitForImmediate();
		t.is(late.result, undefined);
		t.is(timely.result?.kind, 'admitted');
		release(timely.result!);
		await waitForImmediate();
		t.is(late.result?.kind, 'admitted');
	});

	it('holds back no late call for calls in time of a lower priority', async t => {
		const clock = new FakeClock();
		const {control, running} = await createSaturated(clock, 3, 100);
		await clock.advance(1000);
		submit(control, buildRequest({priority: 2, objective: clock.now() + 50_000}));
		const late = submit(control, buildRequest({priority: 1, objective: clock.now() + 50}));
		release(running[0]!);
		release(running[1]!);
		await waitForImmediate();
		t.is(late.result?.kind, 'admitted');
	});

	it('keeps no slot free from short calls, as upstreams wait for them', async t => {
		const clock = new FakeClock();
		const {control, running} = await createSaturated(clock, 3, 100);
		const short = submit(control, buildRequest({objective: clock.now() + 50, deadline: clock.now() + 500}));
		release(running[0]!);
		await waitForImmediate();
		t.is(short.result?.kind, 'admitted');
	});

	/** Occupies the only slot, after calls that set the mean durations of a long and a short route. */
	async function createWithShortRoute(clock: FakeClock): Promise<{control: AdmissionControl; running: Admission}> {
		const control = new AdmissionControl(clock, 1);
		for (const [route, time] of [['long', 120], ['short', 30], ['long', 120]] as const) {
			const sample = await control.admit(buildRequest({route}));
			await clock.advance(time);
			release(sample);
		}

		return {control, running: await control.admit(buildRequest({route: 'long'}))};
	}

	it('considers only the deadline of a short call, as an upstream waits for it', async t => {
		const clock = new FakeClock();
		const {control} = await createWithShortRoute(clock);
		submit(control, buildRequest({route: 'long', objective: clock.now() + 50}));
		const short = submit(control, buildRequest({route: 'short', objective: clock.now() + 100, deadline: clock.now() + 650}));
		const long = submit(control, buildRequest({route: 'long', objective: clock.now() + 100, deadline: clock.now() + 800}));
		await waitForImmediate();
		t.is(short.result, undefined);
		t.is(long.result?.kind, 'refused');
	});

	it('runs short calls before earlier calls of a higher priority', async t => {
		const clock = new FakeClock();
		const {control, running} = await createWithShortRoute(clock);
		const highPriority = submit(control, buildRequest({
			route: 'long', priority: 0, objective: clock.now() + 1000, deadline: clock.now() + 2000,
		}));
		const short = submit(control, buildRequest({
			route: 'short', priority: 1, objective: clock.now() + 120, deadline: clock.now() + 650,
		}));
		await waitForImmediate();
		release(running);
		await waitForImmediate();
		t.is(short.result?.kind, 'admitted');
		t.is(highPriority.result, undefined);
	});

	it('does not count a repeated call whose objective has passed as a short one', async t => {
		const clock = new FakeClock();
		const {control, running} = await createWithShortRoute(clock);
		const fresh = submit(control, buildRequest({route: 'long', priority: 0, objective: clock.now() + 1000}));
		const repeated = submit(control, buildRequest({
			route: 'short', priority: 1, objective: clock.now(), deadline: clock.now() + 650,
		}));
		release(running);
		await waitForImmediate();
		t.is(fresh.result?.kind, 'admitted');
		t.is(repeated.result, undefined);
	});

	it('refuses a call of the lowest priority when the queue is full', async t => {
		const {control} = await createSaturated(new FakeClock(), 1, 1);
		const lowPriorityCalls = Array.from({length: 4}, () => submit(control, buildRequest({priority: 2})));
		const highPriority = submit(control, buildRequest({priority: 0}));
		await waitForImmediate();
		t.is(lowPriorityCalls[0]!.result?.kind, 'refused');
		t.is(highPriority.result, undefined);
	});

	describe('with calls that can only be late', () => {
		it('gives them a free slot while no other call lacks one', async t => {
			const clock = new FakeClock();
			const {control, running} = await createSaturated(clock, 1, 100);
			release(running[0]!);
			const late = submit(control, buildRequest({objective: clock.now()}));
			await waitForImmediate();
			t.is(late.result?.kind, 'admitted');
		});

		it('refuses them, even if a slot is free, for half a second after a call was late only by its wait', async t => {
			const clock = new FakeClock();
			const {control, running} = await createSaturated(clock, 1, 100);
			const lacking = submit(control, buildRequest({objective: clock.now() + 120}));
			await waitForImmediate();
			t.is(lacking.result?.kind, 'refused');
			release(running[0]!);
			const late = submit(control, buildRequest({objective: clock.now()}));
			const inTime = submit(control, buildRequest({objective: clock.now() + 120}));
			await waitForImmediate();
			t.is(late.result?.kind, 'refused');
			t.is(inTime.result?.kind, 'admitted');
			release(inTime.result!);
			await clock.advance(500);
			const laterLate = submit(control, buildRequest({objective: clock.now()}));
			await waitForImmediate();
			t.is(laterLate.result?.kind, 'admitted');
		});

		it('gives them a free slot while only calls of a lower priority lack one', async t => {
			const clock = new FakeClock();
			const {control, running} = await createSaturated(clock, 1, 100);
			const lacking = submit(control, buildRequest({priority: 2, objective: clock.now() + 120}));
			await waitForImmediate();
			t.is(lacking.result?.kind, 'refused');
			release(running[0]!);
			const late = submit(control, buildRequest({priority: 1, objective: clock.now()}));
			await waitForImmediate();
			t.is(late.result?.kind, 'admitted');
		});

		it('gives them a free slot while calls of a lower priority get some', async t => {
			for (const lowerPriority of [1, 2]) {
				const clock = new FakeClock();
				const {control, running} = await createSaturated(clock, 1, 100);
				release(running[0]!);
				const lower = await control.admit(buildRequest({priority: lowerPriority}));
				await clock.advance(200);
				const lacking = submit(control, buildRequest({priority: 1, objective: clock.now() + 120}));
				await waitForImmediate();
				release(lower);
				const late = submit(control, buildRequest({priority: 1, objective: clock.now()}));
				await waitForImmediate();
				t.is(late.result?.kind === 'admitted' || lacking.result?.kind === 'admitted', lowerPriority === 2, `beside calls of priority ${lowerPriority}`);
			}
		});

		it('refuses those that have become late in the queue, when a slot is free and calls in time lack slots', async t => {
			const clock = new FakeClock();
			const {control, running} = await createSaturated(clock, 1, 100);
			const queued = submit(control, buildRequest({objective: clock.now() + 310}));
			await clock.advance(220);
			const lacking = submit(control, buildRequest({objective: clock.now() + 120}));
			await waitForImmediate();
			t.is(lacking.result?.kind, 'refused');
			t.is(queued.result, undefined);
			release(running[0]!);
			await waitForImmediate();
			t.is(queued.result?.kind, 'refused');
		});
	});
});
