import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {type AcceptedRules} from '../rule-source.js';
import {type Rule} from '../rules.js';
import {applyDifference, computeChecksum, computeDifference} from '../rules-difference.js';

function buildRule(index: number, deadline: number, since: number): Rule {
	return {
		methods: [],
		host: 'h.example',
		path: `/${index}/**`,
		headers: [],
		split: [{service: 's', weight: 100}],
		idempotent: true,
		deadline,
		objective: deadline / 2,
		prefer: 'local',
		askedBy: 'o',
		reason: '',
		since,
	};
}

/** Builds a version from one deadline for each rule; 0 leaves the rule out. */
function buildRules(version: number, deadlines: readonly number[]): AcceptedRules {
	const rules = deadlines.flatMap((deadline, index) => deadline === 0 ? [] : [buildRule(index, deadline, version)]);
	return {
		snapshot: {version, rules}, limits: {
			headerBytes: 1, bodyBytes: 2, headerTime: 3, idleTime: 4,
		},
	};
}

function listDeadlines({snapshot}: AcceptedRules): string[] {
	return snapshot.rules.map(rule => `${rule.path} ${rule.deadline}`).toSorted();
}

const deadlinesArbitrary = fc.array(fc.nat(3), {maxLength: 12});

describe('difference between two accepted versions', () => {
	it('gives the later version, also for nodes that met unchanged rules in other versions', t => {
		fc.assert(fc.property(deadlinesArbitrary, deadlinesArbitrary, (before, after) => {
			const to = buildRules(5, after);
			const difference = computeDifference(buildRules(3, before), to)!;
			const text = JSON.stringify(difference);
			const received = JSON.parse(text) as typeof difference;
			const from = {...buildRules(2, before), snapshot: {version: 3, rules: buildRules(2, before).snapshot.rules}};
			const result = applyDifference(from, received).unsafeCoerce();
			t.is(computeChecksum(result), computeChecksum(to));
			t.deepEqual(listDeadlines(result), listDeadlines(to));
			t.deepEqual(result.limits, to.limits);
		}));
	});

	it('carries the health paths if they changed, and keeps them if not', t => {
		const from = {...buildRules(1, [1]), healthPaths: {s: '/health'}};
		const same = computeDifference(from, {...buildRules(2, [1]), healthPaths: {s: '/health'}})!;
		t.is(same.healthPaths, undefined);
		t.deepEqual(applyDifference(from, same).unsafeCoerce().healthPaths, {s: '/health'});
		const changed = computeDifference(from, {...buildRules(2, [1]), healthPaths: {s: '/up'}})!;
		t.deepEqual(applyDifference(from, changed).unsafeCoerce().healthPaths, {s: '/up'});
	});

	it('contains only what changed, and keeps the objects of unchanged rules', t => {
		const from = buildRules(1, [1, 1, 1]);
		const to = buildRules(2, [1, 2, 1]);
		const difference = computeDifference(from, to)!;
		t.deepEqual(difference.changed.map(rule => rule.path), ['/1/**']);
		const result = applyDifference(from, difference).unsafeCoerce();
		t.is(result.snapshot.rules[0], from.snapshot.rules[0]);
		t.is(result.snapshot.rules[2], from.snapshot.rules[2]);
	});

	it('is rejected where a rule differs from what the sender has', t => {
		const difference = computeDifference(buildRules(1, [1, 1]), buildRules(2, [1, 2]))!;
		t.true(applyDifference(buildRules(1, [3, 1]), difference).isLeft());
		t.true(applyDifference(buildRules(0, [1, 1]), difference).isLeft());
	});

	it('is not built where two rules have the same key', t => {
		const {snapshot, limits} = buildRules(1, [1]);
		const doubled = {snapshot: {version: 1, rules: [...snapshot.rules, buildRule(0, 2, 1)]}, limits};
		t.is(computeDifference(doubled, buildRules(2, [1])), undefined);
	});
});
