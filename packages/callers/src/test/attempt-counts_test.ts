import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {AttemptCounts} from '../attempt-counts.js';

describe('attempt counts', () => {
	it('take an attempt back only when it is known not to run', t => {
		const counts = new AttemptCounts();
		counts.recordStart('a');
		counts.recordStart('b');
		t.is(counts.possibleRuns, 2);
		counts.recordSuspicion('a');
		t.is(counts.possibleRuns, 2);
		counts.recordEnd('a', {mayHaveRun: true, hasReachedUpstream: true});
		t.is(counts.possibleRuns, 2);
		counts.recordEnd('b', {mayHaveRun: false, hasReachedUpstream: false});
		t.is(counts.possibleRuns, 1);
		t.true(counts.mayHaveRun);
	});

	it('count an upstream once that was suspected to have received the call, and then had', t => {
		const counts = new AttemptCounts();
		counts.recordStart('a');
		counts.recordSuspicion('a');
		counts.recordEnd('a', {mayHaveRun: true, hasReachedUpstream: true});
		t.is(counts.reachedUpstreams, 1);
	});
});
