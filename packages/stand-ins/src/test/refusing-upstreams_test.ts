import {describe, it} from '../describe.js';
import {LoadEmulator, type EmulatedLoad} from '../load-emulator.js';

const dataCentres = ['a', 'b', 'c', 'd'];
const upstreamCount = 20;
const speeds = [0.7, 0.7, 1.6];
const seeds = [1, 2, 3];
const refusedShare = 0.55;

/** Least share of its credit that a deployment must earn of each class on a day without faults. */
const classFloor = 0.49;

/** Largest share of the runs that may be wasted where the upstreams that refuse nothing have slots for all calls. */
const maxWastedShare = 0.05;

/** Builds a load in which stock checks call the restock service twice, of which a number of upstreams refuse more than half of their requests. */
function buildLoad(refusing: number): EmulatedLoad {
	const upstreams = Array.from({length: upstreamCount}, (_, index) => index);
	const service = {slots: 4, speeds: upstreams.map(index => speeds[index % speeds.length]!), dataCentres: upstreams.map(index => dataCentres[index % dataCentres.length]!)};
	const duration = 12_000;
	return {
		services: [
			{...service, name: 'stock'},
			{
				...service, name: 'restock', refusals: [{
					// Spread over the speeds and the data centres.
					upstreams: upstreams.toSorted((left, right) => (left * 7 % upstreamCount) - (right * 7 % upstreamCount)).slice(0, refusing), from: 0, to: duration, share: refusedShare,
				}],
			},
		],
		classes: [
			{
				name: 'check', service: 'stock', rank: 2, rate: 230, work: 114, objective: 415, deadline: 1200, returns: 2, calls: ['lookup', 'lookup'],
			},
			{
				name: 'confirm', service: 'restock', rank: 1, rate: 90, work: 152, objective: 509, deadline: 1500, returns: 2, calls: [],
			},
			{
				name: 'lookup', service: 'restock', rank: 1, rate: 0, work: 29, objective: 126, deadline: 421, returns: 0, calls: [],
			},
		],
		duration,
		isEntryAtEachVm: true,
		dataCentreLatency: 1.4,
		retryBudget: {ratio: 0.1, slack: 90},
	};
}

/** Computes the mean number of requests that reached the upstreams of the restock service that refused some, and those that refused none. */
function computeMeanRequests(emulator: LoadEmulator): {readonly refusing: number; readonly others: number} {
	const runs = emulator.countRuns();
	const counts = [...emulator.countRefusals()].filter(([id]) => id.startsWith('restock')).map(([id, refused]) => ({refused, requests: refused + runs.get(id)!}));
	const computeMean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
	return {
		refusing: computeMean(counts.filter(({refused}) => refused > 0).map(({requests}) => requests)),
		others: computeMean(counts.filter(({refused}) => refused === 0).map(({requests}) => requests)),
	};
}

/** Share of their requests that the upstreams which refuse some don't refuse. */
const servedShare = 1 - refusedShare;

describe('upstreams that refuse most of their requests at once', () => {
	it('get no larger share of the requests than they serve', async t => {
		for (const seed of seeds) {
			const emulator = new LoadEmulator(buildLoad(16), seed);
			await emulator.run();
			const {refusing, others} = computeMeanRequests(emulator);
			t.true(refusing < others * servedShare, `${Math.round(refusing)} of those that refuse, ${Math.round(others)} of the others (seed ${seed})`);
		}
	});

	it('waste few runs of upstreams that call them while two thirds refuse none', async t => {
		for (const seed of seeds) {
			const results = await new LoadEmulator(buildLoad(7), seed).run();
			const {runs, wastedRuns} = results.get('check')!;
			t.true(wastedRuns / runs < maxWastedShare, `${wastedRuns} of ${runs} (seed ${seed})`);
		}
	});

	it('leave the class that calls them above its floor while only a fifth refuses none', async t => {
		for (const seed of seeds) {
			const results = await new LoadEmulator(buildLoad(16), seed).run();
			const {started, inTime} = results.get('check')!;
			t.true(inTime / started > classFloor, `${inTime} of ${started} (seed ${seed})`);
		}
	});
});
