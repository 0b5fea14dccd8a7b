import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {RateLimit} from '../rate-limit.js';

const windowMs = 4000;

/** Requests that the users' rule allows in a window besides those of the limit. */
const slack = 5;

/** Starts calls whenever the limit lets it, and returns the times of their starts. */
async function runGreedily(limit: RateLimit, clock: FakeClock, duration: number, step: () => number): Promise<number[]> {
	const starts: number[] = [];
	const end = clock.now() + duration;
	while (clock.now() < end) {
		while (limit.computeWait() === 0) {
			limit.recordStart();
			starts.push(clock.now());
		}

		await clock.advance(step());
	}

	return starts;
}

function countWorstWindow(starts: readonly number[]): number {
	return Math.max(0, ...starts.map(start => starts.filter(other => other >= start && other < start + windowMs).length));
}

describe('a rate limit', () => {
	for (const rate of [0, 0.3, 1, 5.6, 40]) {
		it(`of ${rate} a second is kept in every window, also after idle times`, async t => {
			const clock = new FakeClock();
			const limit = new RateLimit(clock);
			limit.setRate(rate);
			const random = new SeededRandom(7);
			const starts = await runGreedily(limit, clock, 30_000, () => random.next() < 0.02 ? 3000 : 10);
			t.true(countWorstWindow(starts) <= (rate * windowMs / 1000) + slack);
			t.true(starts.length > 0);
		});
	}

	it('lets a call through from time to time if it is 0, as only a response tells that it has ended', async t => {
		const clock = new FakeClock();
		const limit = new RateLimit(clock);
		limit.setRate(0);
		const starts = await runGreedily(limit, clock, 8000, () => 100);
		t.true(starts.length >= 3);
	});

	it('gives no calls in advance to a limit that begins, and none for the time without one', async t => {
		const clock = new FakeClock();
		const limit = new RateLimit(clock);
		await clock.advance(60_000);
		t.is(limit.computeWait(), 0);
		limit.setRate(10);
		t.is(limit.computeWait(), 100);
		t.is(limit.computeWait(4), 500);
	});

	it('counts the calls of before when its rate changes', t => {
		const limit = new RateLimit(new FakeClock());
		limit.setRate(10);
		limit.recordStart();
		limit.setRate(5);
		t.is(limit.computeWait(), 400);
		limit.setRate(undefined);
		t.is(limit.computeWait(), 0);
	});
});
