import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {
	maxSliceMs, runInSlices, runSteps, type Steps, type TurnScheduler,
} from '../steps.js';

/** Time passes only by the steps. */
class FakeScheduler implements TurnScheduler {
	time = 0;
	readonly turns: number[] = [];

	now(): number {
		return this.time;
	}

	async waitForTurn(): Promise<void> {
		this.turns.push(this.time);
	}
}

function * countInSteps(scheduler: FakeScheduler, stepMs: number, count: number): Steps<number> {
	for (let index = 0; index < count; index++) {
		scheduler.time += stepMs;
		yield;
	}

	return count;
}

function * failInSteps(): Steps<void> {
	yield;
	throw new Error('no');
}

describe('steps', () => {
	it('run in slices give other tasks a turn, so that a long computation does not hold the event loop', async t => {
		const scheduler = new FakeScheduler();
		t.is(await runInSlices(countInSteps(scheduler, 0.5, 100), scheduler), 100);
		const sliceLengths = scheduler.turns.map((at, index) => at - (scheduler.turns[index - 1] ?? 0));
		t.is(scheduler.turns.length, 25);
		t.true(Math.max(...sliceLengths) <= maxSliceMs);
	});

	it('that are short take no turn', async t => {
		const scheduler = new FakeScheduler();
		await runInSlices(countInSteps(scheduler, 0.1, 10), scheduler);
		t.deepEqual(scheduler.turns, []);
	});

	it('run at once give the same result', t => {
		t.is(runSteps(countInSteps(new FakeScheduler(), 1, 100)), 100);
	});

	it('pass on an error', async t => {
		await t.throwsAsync(runInSlices(failInSteps(), new FakeScheduler()), {message: 'no'});
	});
});
