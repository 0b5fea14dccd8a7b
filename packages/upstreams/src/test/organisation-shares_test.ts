import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {AdmissionControl} from '../admission.js';
import {Cancellation} from '../cancellation.js';
import {OrganisationShares} from '../organisation-shares.js';
import {
	buildRequest, release, submit, waitForImmediate,
} from './admission-helpers.js';

function createControl(slots: number, clock = new FakeClock()): AdmissionControl {
	const control = new AdmissionControl(clock, slots);
	control.setQueueShares(new OrganisationShares(() => 1));
	return control;
}

describe('shares of organisations at the sidecar', () => {
	it('start a call of another organisation before those of one that is ahead, also if it is less urgent', async t => {
		const clock = new FakeClock();
		const control = createControl(1, clock);
		let running = await control.admit(buildRequest({organisation: 'busy'}));
		const other = submit(control, buildRequest({organisation: 'other', priority: 5}));
		let busyStarts = 0;
		while (other.result === undefined && busyStarts < 20) {
			const busy = submit(control, buildRequest({organisation: 'busy'}));
			await waitForImmediate();
			clock.jump(10);
			release(running);
			await waitForImmediate();
			running = busy.result ?? running;
			busyStarts++;
		}

		t.is(other.result?.kind, 'admitted');
		t.true(busyStarts <= 6, `${busyStarts} starts of the other one`);
	});

	it('take no slot from late calls of others for calls above a share that lack one', async t => {
		for (const organisation of ['busy', 'other']) {
			const clock = new FakeClock();
			const control = createControl(1, clock);
			let running = await control.admit(buildRequest({organisation: 'busy'}));
			const waiting = submit(control, buildRequest({organisation: 'other', priority: 5}));
			let busy = waiting;
			while (waiting.result === undefined) {
				busy = submit(control, buildRequest({organisation: 'busy'}));
				await waitForImmediate();
				clock.jump(10);
				release(running);
				await waitForImmediate();
				running = busy.result ?? waiting.result!;
			}

			const cancellation = new Cancellation();
			submit(control, buildRequest({organisation, objective: clock.now() + 15, cancellation}));
			await waitForImmediate();
			cancellation.cancel(new Error('its caller left'));
			clock.jump(10);
			release(waiting.result);
			await waitForImmediate();
			release(busy.result!);
			const late = submit(control, buildRequest({organisation: 'third', objective: clock.now()}));
			await waitForImmediate();
			t.is(late.result?.kind, organisation === 'busy' ? 'admitted' : 'refused', organisation);
		}
	});

	it('refuse a call of the organisation that is furthest ahead when the queue is full', async t => {
		const control = createControl(1);
		await control.admit(buildRequest({organisation: 'busy'}));
		const other = submit(control, buildRequest({organisation: 'other', priority: 5}));
		const busy = [0, 1, 2, 3].map(() => submit(control, buildRequest({organisation: 'busy'})));
		await waitForImmediate();
		t.is(other.result, undefined);
		t.is(busy.filter(({result}) => result?.kind === 'refused').length, 1);
	});

	it('let calls with little time go first, whatever the organisation got', async t => {
		const control = createControl(1);
		const running = await control.admit(buildRequest({organisation: 'busy'}));
		for (const organisation of ['busy', 'busy', 'other']) {
			submit(control, buildRequest({organisation}));
		}

		const nested = submit(control, buildRequest({deadline: 500, objective: 200, priority: 9}));
		await waitForImmediate();
		release(running);
		await waitForImmediate();
		t.is(nested.result?.kind, 'admitted');
	});

	it('do not count calls above a share as load, as other organisations do not wait for them', async t => {
		const control = createControl(1);
		await control.admit(buildRequest({organisation: 'busy'}));
		for (const organisation of ['busy', 'busy', 'busy', 'busy']) {
			submit(control, buildRequest({organisation}));
		}

		await waitForImmediate();
		t.is(control.waiting, 4);
		t.is(control.load, 3);
	});
});
