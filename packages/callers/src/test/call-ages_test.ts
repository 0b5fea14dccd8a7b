import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {CallAges} from '../call-ages.js';

describe('ages of calls', () => {
	it('are 0 for callers whose deadlines differ a little', t => {
		const ages = new CallAges();
		for (const deadline of [2400, 2500, 2150, 2300]) {
			t.is(ages.estimate('r', deadline), 0);
		}
	});

	it('are the time since the first attempt of a caller that repeats a call', t => {
		const ages = new CallAges();
		ages.estimate('r', 2500);
		const age = ages.estimate('r', 1900);
		t.true(age > 590 && age <= 600);
	});

	it('are estimated for each route separately', t => {
		const ages = new CallAges();
		ages.estimate('long', 8000);
		t.is(ages.estimate('short', 400), 0);
	});

	it('follow callers that change to shorter deadlines', t => {
		const ages = new CallAges();
		ages.estimate('r', 2500);
		for (let count = 0; count < 10_000; count++) {
			ages.estimate('r', 1000);
		}

		t.is(ages.estimate('r', 1000), 0);
	});
});
