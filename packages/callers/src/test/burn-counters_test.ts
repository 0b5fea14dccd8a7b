import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {BurnCounters} from '../burn-counters.js';

const minute = 60_000;
const hour = 60 * minute;

describe('burn counters', () => {
	it('count good and bad calls in every window, and drop them from the shorter windows first', t => {
		const clock = new FakeClock();
		const counters = new BurnCounters(clock);
		counters.record('r', true);
		counters.record('r', false);
		t.deepEqual(counters.list(), [{route: 'r', good: [1, 1, 1, 1], bad: [1, 1, 1, 1]}]);
		clock.jump(10 * minute);
		counters.record('r', false);
		t.deepEqual(counters.list()[0]!.bad, [1, 2, 2, 2]);
		clock.jump(2 * hour);
		t.deepEqual(counters.list()[0]!.bad, [0, 0, 2, 2]);
		clock.jump(10 * hour);
		t.deepEqual(counters.list()[0]!.bad, [0, 0, 0, 2]);
		clock.jump(100 * hour);
		t.deepEqual(counters.list()[0]!.bad, [0, 0, 0, 0]);
	});
});
