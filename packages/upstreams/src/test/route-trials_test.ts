import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {RouteTrials} from '../route-trials.js';

const maxAgeMs = 1000;
const maxRoutes = 512;

describe('trials of routes', () => {
	it('wait a second after the last call of their route, and one at a time', t => {
		const clock = new FakeClock();
		const trials = new RouteTrials(clock);
		trials.recordCall('r');
		clock.jump(maxAgeMs - 1);
		t.false(trials.admit('r', 16));
		clock.jump(1);
		t.true(trials.admit('r', 16));
		t.false(trials.admit('r', 16));
		trials.recordEnd('r', true);
		t.false(trials.admit('r', 16));
		clock.jump(maxAgeMs);
		t.true(trials.admit('r', 16));
	});

	it('follow each other at once while they are faster than the mean, or got no slot', t => {
		const trials = new RouteTrials(new FakeClock());
		for (let count = 0; count < 3; count++) {
			t.true(trials.admit('r', 16));
			trials.recordEnd('r', false);
		}
	});

	it('of all routes use an eighth of the slots, and at least one', t => {
		for (const [slots, allowed] of [[1, 1], [9, 1], [16, 2], [40, 5]] as const) {
			const trials = new RouteTrials(new FakeClock());
			const admitted = Array.from({length: 40}, (_, index) => trials.admit(`r${index}`, slots)).filter(Boolean);
			t.is(admitted.length, allowed, `${slots} slots`);
		}
	});

	it('remember as many routes as they may, and tell the age of their last call', t => {
		const clock = new FakeClock();
		const trials = new RouteTrials(clock);
		for (let index = 0; index <= maxRoutes; index++) {
			trials.recordCall(`r${index}`);
		}

		clock.jump(30);
		t.is(trials.findAge('r0'), undefined);
		t.is(trials.findAge('r1'), 30);
		t.is(trials.findAge(`r${maxRoutes}`), 30);
	});
});
