import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
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
	});
});
