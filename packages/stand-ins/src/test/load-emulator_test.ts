import {describe, it} from '../describe.js';
import {LoadEmulator, type EmulatedLoad} from '../load-emulator.js';

/** Builds a load in which stock checks call the restock service, which has callers of its own with the same priority as these nested calls. */
function buildLoad(scale: number): EmulatedLoad {
	return {
		services: [
			{name: 'stock', slots: 6, speeds: [0.6, 1, 1.4, 1]},
			{name: 'restock', slots: 6, speeds: [0.5, 1, 1.5]},
		],
		classes: [
			{
				name: 'check', service: 'stock', rank: 2, rate: 120 * scale, work: 120, objective: 400, deadline: 1200, returns: 2, calls: ['lookup', 'lookup'],
			},
			{
				name: 'confirm', service: 'restock', rank: 1, rate: 60 * scale, work: 160, objective: 500, deadline: 1500, returns: 2, calls: [],
			},
			{
				name: 'lookup', service: 'restock', rank: 1, rate: 0, work: 30, objective: 120, deadline: 400, returns: 0, calls: [],
			},
		],
		duration: 12_000,
	};
}

const seeds = [1, 2, 3];

describe('load emulator', () => {
	for (const seed of seeds) {
		it(`serves a load of half the capacity in time (seed ${seed})`, async t => {
			const results = await new LoadEmulator(buildLoad(0.5), seed).run();
			for (const name of ['check', 'confirm']) {
				const {started, inTime} = results.get(name)!;
				t.true(inTime / started > 0.95, `${name}: ${inTime} of ${started}`);
			}
		});

		it(`serves a load of half the capacity in time if each VM is an entry node (seed ${seed})`, async t => {
			const results = await new LoadEmulator({...buildLoad(0.5), isEntryAtEachVm: true}, seed).run();
			for (const name of ['check', 'confirm']) {
				const {started, inTime} = results.get(name)!;
				t.true(inTime / started > 0.95, `${name}: ${inTime} of ${started}`);
			}
		});

		it(`wastes few runs of upstreams that call others at a load above the capacity (seed ${seed})`, async t => {
			const results = await new LoadEmulator(buildLoad(1.5), seed).run();
			const {runs, wastedRuns, inTime, started} = results.get('check')!;
			t.true(started > 1000);
			t.true(wastedRuns / runs < 0.05, `${wastedRuns} of ${runs}`);
			t.true(inTime > 0);
		});

		it(`serves the more urgent class no less often at a load above the capacity (seed ${seed})`, async t => {
			const load = buildLoad(1.5);
			const urgent = {
				...load.classes[1]!, name: 'urgent', rank: 0, rate: 30,
			};
			const results = await new LoadEmulator({...load, classes: [...load.classes, urgent]}, seed).run();
			const share = (name: string) => {
				const {inTime, late, started} = results.get(name)!;
				return (inTime + late) / started;
			};

			t.true(share('urgent') > share('confirm') - 0.05, `share served: ${share('urgent')} of the urgent class, ${share('confirm')} of the other`);
		});
	}

	describe('with upstreams that name limits', () => {
		const limitedLoad: EmulatedLoad = {
			duration: 12_000,
			isEntryAtEachVm: true,
			limitsFrom: 2000,
			services: [{
				name: 's', slots: 6, speeds: [1, 1, 1, 1], limits: [0, 4, 9, null],
			}],
			classes: [
				{
					name: 'urgent', service: 's', rank: 0, rate: 20, work: 100, objective: 400, deadline: 1500, returns: 1, calls: [],
				},
				{
					name: 'other', service: 's', rank: 2, rate: 90, work: 100, objective: 400, deadline: 1500, returns: 1, calls: [],
				},
			],
		};
		const slack = 5;

		it('sends each no more than it allows, and serves the urgent class first', async t => {
			for (const seed of [1, 2, 3]) {
				const emulator = new LoadEmulator(limitedLoad, seed);
				const results = await emulator.run();
				for (const {upstream, allowed, worst} of emulator.listLimitUsages()) {
					t.true(worst <= allowed + slack, `${upstream} got ${worst} of ${allowed}`);
				}

				const share = (name: string) => (results.get(name)!.inTime + results.get(name)!.late) / results.get(name)!.started;
				t.true(share('urgent') >= share('other'));
				t.true(share('urgent') > 0.95);
			}
		});

		it('shows what they get if nodes ignore the limits', async t => {
			const emulator = new LoadEmulator({...limitedLoad, areLimitsIgnored: true}, 1);
			await emulator.run();
			t.true(emulator.listLimitUsages().every(({allowed, worst}) => worst > (allowed * 1.5) + slack));
		});
	});
});
