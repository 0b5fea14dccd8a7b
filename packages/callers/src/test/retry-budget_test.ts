import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {RetryBudget} from '../retry-budget.js';

/** Takes as many retries as the budget gives. */
function takeAll(budget: RetryBudget, service: string): number {
	let count = 0;
	while (budget.takeRetry(service)) {
		count++;
	}

	return count;
}

describe('retry budget', () => {
	it('gives no more than its reserve and the ratio of calls', t => {
		const budget = new RetryBudget(0.1, () => 3);
		let taken = takeAll(budget, 's');
		for (let count = 0; count < 100; count++) {
			budget.recordCall('s');
			taken += takeAll(budget, 's');
		}

		t.true(taken >= 11 && taken <= 13);
	});

	it('shares the slack of a fleet, so that all nodes together stay within it', t => {
		for (const nodes of [11, 89, 300]) {
			const slack = 62;
			const budgets = Array.from({length: nodes}, () => new RetryBudget(0.1, () => slack / nodes));
			const taken = budgets.reduce((sum, budget) => sum + takeAll(budget, 's'), 0);
			t.true(taken <= slack, `${nodes} nodes took ${taken}`);
		}
	});
});
