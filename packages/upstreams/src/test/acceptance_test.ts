import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {Acceptance} from '../acceptance.js';
import {AdmissionControl} from '../admission.js';
import {buildRequest} from './admission-helpers.js';

describe('the share of requests that an upstream accepts', () => {
	it('follows its refusals, and recovers with accepted requests', t => {
		const acceptance = new Acceptance(new FakeClock());
		t.is(acceptance.share, 1);
		for (let index = 0; index < 100; index++) {
			acceptance.record(index % 2 === 0);
		}

		t.true(Math.abs(acceptance.share - 0.5) < 0.1, String(acceptance.share));
		for (let index = 0; index < 50; index++) {
			acceptance.record(true);
		}

		t.true(acceptance.share > 0.95);
	});

	it('recovers without requests, so that the upstream is tried again', async t => {
		const clock = new FakeClock();
		const acceptance = new Acceptance(clock);
		for (let index = 0; index < 50; index++) {
			acceptance.record(false);
		}

		t.true(acceptance.share < 0.05);
		await clock.advance(20_000);
		t.true(acceptance.share > 0.9);
	});
});

describe('a call that the upstream refuses', () => {
	it('does not count as a short one in the estimates of waits', async t => {
		const clock = new FakeClock();
		const control = new AdmissionControl(clock, 1);
		const admit = async () => {
			const admission = await control.admit(buildRequest());
			t.is(admission.kind, 'admitted');
			return admission.kind === 'admitted' ? admission : undefined;
		};

		const run = await admit();
		await clock.advance(100);
		run?.release();
		for (let index = 0; index < 50; index++) {
			const refused = await admit();
			refused?.release(false);
		}

		t.is(control.estimates.mean, 100);
		t.true(control.acceptance < 0.05);
	});
});
