import {describe, it} from '../describe.js';
import {type CallClass, type CallClassResult, type EmulatedLoad} from '../emulated-load.js';
import {LoadEmulator} from '../load-emulator.js';

const speeds = [0.7, 0.7, 1.6];
const upstreamCount = 9;
const seeds = [1, 2, 3];

/** Least share of its credit that a deployment must earn of each class on a day of high load. */
const classFloor = 0.27;

const checkClass: CallClass = {
	name: 'check', service: 'stock', rank: 2, rate: 130, work: 114, objective: 415, deadline: 1200, returns: 2, calls: ['lookup', 'lookup'],
};

/** Builds a load in which the slots of the stock service are busy with checks all the time, as these wait for calls of their own. */
function buildLoad(scale: number): EmulatedLoad {
	const service = {slots: 4, speeds: Array.from({length: upstreamCount}, (_, index) => speeds[index % speeds.length]!)};
	return {
		services: [{...service, name: 'stock'}, {...service, name: 'restock'}],
		classes: [
			{...checkClass, rate: checkClass.rate * scale},
			{
				...checkClass, name: 'plain-check', rate: 56 * scale, calls: [],
			},
			{
				...checkClass, name: 'confirm', service: 'restock', rank: 1, rate: 90 * scale, work: 152, objective: 509, deadline: 1500, calls: [],
			},
			{
				...checkClass, name: 'lookup', service: 'restock', rank: 1, rate: 0, work: 29, objective: 126, deadline: 421, returns: 0, calls: [],
			},
		],
		duration: 12_000,
		isEntryAtEachVm: true,
		hopLatency: 18,
	};
}

async function runChecks(scale: number, seed: number): Promise<CallClassResult> {
	const results = await new LoadEmulator(buildLoad(scale), seed).run();
	return results.get('check')!;
}

describe('a service with more calls than slots', () => {
	for (const scale of [1.2, 1.4]) {
		it(`serves its calls in time above the floor of their class, and not late, at ${scale} times the load`, async t => {
			for (const seed of seeds) {
				const {started, inTime, late} = await runChecks(scale, seed);
				t.true(inTime / started > classFloor, `${inTime} of ${started} in time (seed ${seed})`);
				t.true(inTime > late, `${inTime} in time, ${late} late (seed ${seed})`);
			}
		});
	}

	it('serves late calls with the slots that no others need', async t => {
		for (const seed of seeds) {
			const {started, inTime, late} = await runChecks(0.6, seed);
			t.true((inTime + late) / started > 0.95, `${inTime} in time and ${late} late of ${started} (seed ${seed})`);
		}
	});
});
