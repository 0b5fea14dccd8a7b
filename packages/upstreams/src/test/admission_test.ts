import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {Cancellation} from '../cancellation.js';
import {AdmissionControl} from '../admission.js';
import {type Admission} from '../admission-request.js';
import {
	buildRequest, release, submit, waitForImmediate,
} from './admission-helpers.js';

describe('admission', () => {
	it('runs no more calls at once than there are slots', async t => {
		const control = new AdmissionControl(new FakeClock(), 2);
		const [first, second, third] = [0, 1, 2].map(() => submit(control, buildRequest()));
		await waitForImmediate();
		t.is(first!.result?.kind, 'admitted');
		t.is(second!.result?.kind, 'admitted');
		t.is(third!.result, undefined);
		release(first!.result!);
		release(first!.result!);
		await waitForImmediate();
		t.is(third!.result?.kind, 'admitted');
		t.is(control.running, 2);
	});

	it('serves callers in round robin, so that a flooding caller does not starve another', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		const running = await control.admit(buildRequest());
		const flood = Array.from({length: 3}, () => submit(control, buildRequest({caller: 'flood'})));
		const quiet = submit(control, buildRequest({caller: 'quiet'}));
		release(running);
		await waitForImmediate();
		t.is(flood[0]!.result?.kind, 'admitted');
		release(flood[0]!.result!);
		await waitForImmediate();
		t.is(quiet.result?.kind, 'admitted');
		t.is(flood[1]!.result, undefined);
	});

	it('refuses the oldest call of the caller with the most queued calls when the queue is full', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		await control.admit(buildRequest());
		const flood = Array.from({length: 3}, () => submit(control, buildRequest({caller: 'flood'})));
		const quiet = submit(control, buildRequest({caller: 'quiet'}));
		submit(control, buildRequest({caller: 'other'}));
		await waitForImmediate();
		t.is(flood[0]!.result?.kind, 'refused');
		t.is(flood[1]!.result, undefined);
		t.is(quiet.result, undefined);
		t.is(control.waiting, 4);
	});

	it('does not admit a call that was cancelled before, as while its body arrived', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		const cancellation = new Cancellation();
		cancellation.cancel(new Error('the caller left'));
		const cancelled = await control.admit(buildRequest({cancellation}));
		t.is(cancelled.kind === 'refused' && cancelled.refusal.outcome, 'not-run');
		t.is(control.running, 0);
	});

	it('refuses at once a call that could not end before its deadline', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		const slow = await control.admit(buildRequest());
		await clock.advance(1000);
		release(slow);
		await control.admit(buildRequest());
		const late = await control.admit(buildRequest({deadline: clock.now() + 50}));
		t.is(late.kind, 'refused');
		t.is(late.kind === 'refused' && late.refusal.outcome, 'not-run');
	});

	it('refuses a queued call early enough for the refusal to arrive before the deadline', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		await control.admit(buildRequest());
		const waiting = submit(control, buildRequest({deadline: 400}));
		await clock.advance(370);
		t.is(waiting.result, undefined);
		await clock.advance(20);
		t.is(waiting.result?.kind, 'refused');
	});

	it('limits the concurrent calls of a route to its slots', async t => {
		const control = new AdmissionControl(new FakeClock(), 3);
		const narrow = {route: 'narrow', routeSlots: 1};
		const [first, second] = [submit(control, buildRequest(narrow)), submit(control, buildRequest({...narrow, caller: 'd'}))];
		await waitForImmediate();
		t.is(first.result?.kind, 'admitted');
		t.is(second.result, undefined);
		release(first.result!);
		await waitForImmediate();
		t.is(second.result?.kind, 'admitted');
	});

	it('runs a suspect exclusively: after the running calls, and before later ones', async t => {
		const control = new AdmissionControl(new FakeClock(), 4);
		const running = await control.admit(buildRequest());
		const suspect = submit(control, buildRequest({isExclusive: true, caller: 's'}));
		const later = submit(control, buildRequest({caller: 'l'}));
		await waitForImmediate();
		t.is(suspect.result, undefined);
		t.is(later.result, undefined);
		release(running);
		await waitForImmediate();
		t.is(suspect.result?.kind, 'admitted');
		t.is(later.result, undefined);
		release(suspect.result!);
		await waitForImmediate();
		t.is(later.result?.kind, 'admitted');
	});

	it('admits other calls when a queued suspect is cancelled', async t => {
		const control = new AdmissionControl(new FakeClock(), 4);
		await control.admit(buildRequest());
		const cancellation = new Cancellation();
		submit(control, buildRequest({isExclusive: true, caller: 's', cancellation}));
		const later = submit(control, buildRequest({caller: 'l'}));
		cancellation.cancel(new Error('the caller left'));
		await waitForImmediate();
		t.is(later.result?.kind, 'admitted');
	});

	it('removes a queued call whose caller disconnected', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		const running = await control.admit(buildRequest());
		const cancellation = new Cancellation();
		const waiting = submit(control, buildRequest({cancellation}));
		cancellation.cancel(new Error('the caller left'));
		await waitForImmediate();
		t.is(waiting.result?.kind, 'refused');
		release(running);
		t.is(control.running, 0);
		t.is(control.waiting, 0);
	});

	it('refuses queued and new calls when the upstream leaves, and keeps running calls', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		const running = await control.admit(buildRequest());
		const waiting = submit(control, buildRequest());
		control.close();
		await waitForImmediate();
		t.is(waiting.result?.kind, 'refused');
		t.is(control.running, 1);
		t.like(await control.admit(buildRequest()), {kind: 'refused'});
		release(running);
		control.open();
		t.like(await control.admit(buildRequest()), {kind: 'admitted'});
	});

	it('refuses every queued call when the upstream leaves, and admits none of them when a slot is released', async t => {
		const control = new AdmissionControl(new FakeClock(), 1);
		const running = await control.admit(buildRequest());
		const queued = Array.from({length: 4}, () => submit(control, buildRequest()));
		control.close();
		release(running);
		await waitForImmediate();
		t.deepEqual(queued.map(({result}) => result?.kind), ['refused', 'refused', 'refused', 'refused']);
		t.is(control.waiting, 0);
		t.is(control.running, 0);
	});

	it('admits no queued call while it closes, although a suspect that held up the others is refused', async t => {
		const control = new AdmissionControl(new FakeClock(), 2);
		await control.admit(buildRequest());
		submit(control, buildRequest({isExclusive: true}));
		const later = submit(control, buildRequest());
		control.close();
		await waitForImmediate();
		t.is(later.result?.kind, 'refused');
		t.is(control.running, 1);
	});

	it('refuses all queued calls whose deadline has come near in one check', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		await control.admit(buildRequest());
		const queued = Array.from({length: 4}, () => submit(control, buildRequest({deadline: 405})));
		await clock.advance(389);
		t.true(queued.every(({result}) => result === undefined));
		await clock.advance(5);
		t.deepEqual(queued.map(({result}) => result?.kind), ['refused', 'refused', 'refused', 'refused']);
	});

	describe('with a suspect in the queue', () => {
		const longMs = 2000;

		/** Lets one long call run, which a queued suspect waits for. */
		async function createWithSuspect(clock: FakeClock, suspectDeadline: number): Promise<{control: AdmissionControl; suspect: {result: Admission | undefined}}> {
			const control = new AdmissionControl(clock, 4);
			const sample = await control.admit(buildRequest({route: 'long'}));
			await clock.advance(longMs);
			release(sample);
			const shortSample = await control.admit(buildRequest());
			await clock.advance(100);
			release(shortSample);
			await control.admit(buildRequest({route: 'long'}));
			return {control, suspect: submit(control, buildRequest({isExclusive: true, deadline: clock.now() + suspectDeadline}))};
		}

		it('refuses at once a call that can not end in time behind it', async t => {
			const clock = new FakeClock();
			const {control} = await createWithSuspect(clock, 4000);
			const behind = submit(control, buildRequest({deadline: clock.now() + 1000}));
			await waitForImmediate();
			t.is(behind.result?.kind, 'refused');
		});

		it('refuses the suspect at once if the running calls leave it too little time, and holds up no other call', async t => {
			const clock = new FakeClock();
			const {control, suspect} = await createWithSuspect(clock, 1500);
			await waitForImmediate();
			t.is(suspect.result?.kind, 'refused');
			t.like(await control.admit(buildRequest({deadline: clock.now() + 1000})), {kind: 'admitted'});
		});
	});

	describe('whose upstream has stopped responding', () => {
		const meanMs = 100;

		/** Occupies all slots with calls that don't end, after one call that sets the mean duration. */
		async function createStalled(clock: FakeClock, slots: number): Promise<{control: AdmissionControl; running: Admission[]}> {
			const control = new AdmissionControl(clock, slots);
			const sample = await control.admit(buildRequest());
			await clock.advance(meanMs);
			release(sample);
			return {control, running: await Promise.all(Array.from({length: slots}, async () => control.admit(buildRequest())))};
		}

		it('refuses a queued call long before its deadline', async t => {
			const clock = new FakeClock();
			const {control} = await createStalled(clock, 2);
			const queued = submit(control, buildRequest({deadline: clock.now() + 2000}));
			await clock.advance(1200);
			t.is(queued.result?.kind, 'refused');
		});

		it('refuses new calls at once, although calls that ended were short', async t => {
			const clock = new FakeClock();
			const {control} = await createStalled(clock, 2);
			await clock.advance(1500);
			const late = submit(control, buildRequest({deadline: clock.now() + 1000}));
			await waitForImmediate();
			t.is(late.result?.kind, 'refused');
			t.true(late.result?.kind === 'refused' && late.result.refusal.retryAfter! >= 1000);
		});

		it('keeps a queued call when the running ones are little overdue', async t => {
			const clock = new FakeClock();
			const {control, running} = await createStalled(clock, 2);
			const queued = submit(control, buildRequest({deadline: clock.now() + 500}));
			await clock.advance(meanMs * 2);
			t.is(queued.result, undefined);
			release(running[0]!);
			await waitForImmediate();
			t.is(queued.result?.kind, 'admitted');
		});

		it('refuses new calls before the first call has ended', async t => {
			const clock = new FakeClock();
			const control = new AdmissionControl(clock, 1);
			await control.admit(buildRequest());
			await clock.advance(1000);
			const late = submit(control, buildRequest({deadline: clock.now() + 500}));
			await waitForImmediate();
			t.is(late.result?.kind, 'refused');
		});
	});

	it('refuses a queued call when the calls ahead of it leave too little time, and keeps those', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		const sample = await control.admit(buildRequest());
		await clock.advance(300);
		release(sample);
		await control.admit(buildRequest());
		const behind = submit(control, buildRequest({deadline: clock.now() + 1500, priority: 1}));
		const ahead = Array.from({length: 3}, () => submit(control, buildRequest({deadline: clock.now() + 5000})));
		await clock.advance(450);
		t.is(behind.result?.kind, 'refused');
		t.true(ahead.every(({result}) => result === undefined));
	});
});
