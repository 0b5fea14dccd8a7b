import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {Registry} from 'prom-client';
import {RefusalMetrics} from '../refusal-metrics.js';
import {outcomes, refusalCauses} from '../upstreams.js';

describe('refusal metrics', () => {
	it('count trials', async t => {
		const registry = new Registry();
		const metrics = new RefusalMetrics(registry);
		t.regex(await registry.metrics(), /^ebonylead_trials_total 0$/mv);
		metrics.recordTrial();
		t.regex(await registry.metrics(), /^ebonylead_trials_total 1$/mv);
	});

	it('count refusals by cause and outcome', async t => {
		const registry = new Registry();
		const metrics = new RefusalMetrics(registry);
		metrics.recordRefusal(refusalCauses.objective, outcomes.notRun);
		metrics.recordRefusal(refusalCauses.objective, outcomes.notRun);
		metrics.recordRefusal(refusalCauses.unanswered, outcomes.unknown);
		const text = await registry.metrics();
		t.regex(text, /ebonylead_refusals_total\{cause="objective",outcome="not-run"\} 2/v);
		t.regex(text, /ebonylead_refusals_total\{cause="unanswered",outcome="unknown"\} 1/v);
	});
});
