import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {RetryBudget} from '../retry-budget.js';

/** Requests retries until the budget admits no more, and counts those that it admitted. */
function countAdmittedRetries(budget: RetryBudget, service: string): number {
	let count = 0;
	while (budget.admitRetry(service)) {
		count++;
	}

	return count;
}

describe('retry budget', () => {
	it('admits no more than the size of its bucket and the ratio of calls', t => {
		const budget = new RetryBudget(0.1, () => 3);
		let admitted = countAdmittedRetries(budget, 's');
		for (let count = 0; count < 100; count++) {
			budget.recordCall('s');
			admitted += countAdmittedRetries(budget, 's');
		}

		t.true(admitted >= 11 && admitted <= 13);
	});

	it('divides the slack of a fleet, so that all nodes together stay within it', t => {
		for (const nodes of [11, 89, 300]) {
			const slack = 62;
			const budgets = Array.from({length: nodes}, () => new RetryBudget(0.1, () => slack / nodes));
			const admitted = budgets.reduce((sum, budget) => sum + countAdmittedRetries(budget, 's'), 0);
			t.true(admitted <= slack, `${nodes} nodes admitted ${admitted}`);
		}
	});

	describe('over a fleet', () => {
		/** Limits of the users for each window: retries per call, and a number of additional retries for the whole fleet. */
		const allowedRatio = 0.2;
		const allowedSlack = 62;

		/** Nodes use half of both, because the calls that a retried call makes downstream count as well. */
		const plannedShare = 0.5;
		const calls = 20_000;

		/** Sends calls to nodes, most of them to a few nodes, and retries each as often as the budget of its node admits. */
		function countRetries(nodes: number, seed: number): number {
			const random = new SeededRandom(seed);
			const budgets = Array.from({length: nodes}, () => new RetryBudget(allowedRatio * plannedShare, () => allowedSlack * plannedShare / nodes));
			let retries = 0;
			for (let call = 0; call < calls; call++) {
				const budget = budgets[Math.floor(nodes * (random.next() ** 3))]!;
				budget.recordCall('s');
				while (budget.admitRetry('s')) {
					retries++;
				}
			}

			return retries;
		}

		for (const nodes of [11, 89, 2500]) {
			it(`of ${nodes} nodes with uneven traffic stays within what the users allow`, t => {
				t.true(countRetries(nodes, 1) <= (calls * allowedRatio) + allowedSlack);
			});

			it(`of ${nodes} nodes allows half of the planned retries or more`, t => {
				t.true(countRetries(nodes, 1) >= calls * allowedRatio * plannedShare / 2);
			});
		}

		describe('in a sliding window', () => {
			const windowSeconds = 10;
			const stepsPerSecond = 2;
			const windowSteps = windowSeconds * stepsPerSecond;

			/** Calls and retries of a fleet in each half second. */
			type Step = {calls: number; retries: number};

			/** Sends calls to a fleet, a quiet time between two outages in which each call asks for up to two retries; the traffic falls to a tenth during the second. */
			function runOutages(nodes: number, callsPerSecond: number, skew: number): Step[] {
				const random = new SeededRandom(nodes);
				const clock = new FakeClock();
				const budgets = Array.from({length: nodes}, () => new RetryBudget(allowedRatio * plannedShare, () => allowedSlack * plannedShare / nodes, clock, random));
				return Array.from({length: 80 * stepsPerSecond}, (_, index) => {
					const second = index / stepsPerSecond;
					const maxRetries = (second >= 20 && second < 40) || second >= 60 ? 2 : 0;
					const calls = callsPerSecond / stepsPerSecond / (second >= 62 ? 10 : 1);
					let retries = 0;
					for (let call = 0; call < calls; call++) {
						const budget = budgets[Math.floor(nodes * (random.next() ** skew))]!;
						budget.recordCall('s');
						for (let retry = 0; retry < maxRetries; retry++) {
							retries += budget.admitRetry('s') ? 1 : 0;
						}
					}

					clock.jump(1000 / stepsPerSecond);
					return {calls, retries};
				});
			}

			function sum(steps: readonly Step[], field: keyof Step, start: number): number {
				return steps.slice(Math.max(0, start), Math.max(0, start + windowSteps)).reduce((total, step) => total + step[field], 0);
			}

			for (const nodes of [11, 70, 89, 300, 2500]) {
				for (const [traffic, skew] of [['even', 1], ['uneven', 3]] as const) {
					it(`of ${nodes} nodes with ${traffic} traffic stays within what the users allow, and uses a quarter of it or more`, t => {
						for (const callsPerSecond of [20, 200, 1000]) {
							const steps = runOutages(nodes, callsPerSecond, skew);
							for (let start = 0; start + windowSteps <= steps.length; start++) {
								const calls = Math.max(...[start, start - (windowSteps / 2), start - windowSteps].map(first => sum(steps, 'calls', first)));
								const retries = sum(steps, 'retries', start);
								t.true(retries <= (calls * allowedRatio) + allowedSlack, `${retries} retries beside ${calls} calls from step ${start}`);
							}

							const [calls, retries] = [sum(steps, 'calls', 50), sum(steps, 'retries', 50)];
							t.true(retries >= calls * allowedRatio / 4, `${retries} retries of ${calls} calls in the outage`);
						}
					});
				}
			}
		});
	});
});
