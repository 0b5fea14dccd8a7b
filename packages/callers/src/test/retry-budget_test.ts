import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {RetryBudget} from '../retry-budget.js';

/** Takes as many retries as the budget gives. */
function countAdmittedRetries(budget: RetryBudget, service: string): number {
	let count = 0;
	while (budget.admitRetry(service)) {
		count++;
	}

	return count;
}

describe('retry budget', () => {
	it('gives no more than its reserve and the ratio of calls', t => {
		const budget = new RetryBudget(0.1, () => 3);
		let admitted = countAdmittedRetries(budget, 's');
		for (let count = 0; count < 100; count++) {
			budget.recordCall('s');
			admitted += countAdmittedRetries(budget, 's');
		}

		t.true(admitted >= 11 && admitted <= 13);
	});

	it('shares the slack of a fleet, so that all nodes together stay within it', t => {
		for (const nodes of [11, 89, 300]) {
			const slack = 62;
			const budgets = Array.from({length: nodes}, () => new RetryBudget(0.1, () => slack / nodes));
			const admitted = budgets.reduce((sum, budget) => sum + countAdmittedRetries(budget, 's'), 0);
			t.true(admitted <= slack, `${nodes} nodes took ${admitted}`);
		}
	});

	describe('over a fleet', () => {
		/** Bounds of the users' sites: retries for each call, and beyond that for the whole fleet, in each window. */
		const allowedRatio = 0.2;
		const allowedSlack = 62;

		/** Nodes plan with half of both, as calls that a repeated call makes count too. */
		const plannedShare = 0.5;
		const calls = 20_000;

		/** Sends calls to nodes, most of them to few, and tries each again as often as its node allows. */
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
