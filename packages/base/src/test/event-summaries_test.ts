import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {EventSummaries} from '../event-summaries.js';
import {type Logger} from '../logs.js';

type Line = {readonly key: string; readonly window: number; readonly outcomes: {run?: number; refused?: number}; readonly means: Record<string, number>};

function createSummaries() {
	const lines: Line[] = [];
	const clock = new FakeClock();
	const log = {info: (line: Line) => lines.push(line)} as unknown as Logger;
	return {lines, clock, summaries: new EventSummaries(log, clock, 'Calls')};
}

describe('event summaries', () => {
	it('count outcomes and average durations by key, a line for each window', async t => {
		const {lines, clock, summaries} = createSummaries();
		summaries.record('a', 'run', {wait: 10, slot: 100});
		summaries.record('a', 'run', {wait: 20, slot: 200});
		summaries.record('a', 'refused', {wait: 60});
		summaries.record('b', 'run', {});
		t.deepEqual(lines, []);
		await clock.advance(2000);
		summaries.record('a', 'run', {wait: 1});
		t.deepEqual(lines, [
			{
				key: 'a', window: 2000, outcomes: {run: 2, refused: 1}, means: {wait: 30, slot: 150},
			},
			{
				key: 'b', window: 2000, outcomes: {run: 1}, means: {},
			},
		]);
		await clock.advance(2000);
		summaries.record('a', 'run', {wait: 1});
		t.deepEqual(lines[2], {
			key: 'a', window: 2000, outcomes: {run: 1}, means: {wait: 1},
		});
	});

	it('write a bounded number of lines', async t => {
		const {lines, clock, summaries} = createSummaries();
		for (let index = 0; index < 100; index++) {
			summaries.record(`key ${index}`, 'run', {});
		}

		await clock.advance(2000);
		summaries.record('a', 'run', {});
		t.is(lines.length, 33);
		t.is(lines.find(line => line.key === 'other')?.outcomes.run, 68);
	});
});
