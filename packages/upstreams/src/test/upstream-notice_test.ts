import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {
	buildIncarnationKey, decodeNotice, encodeNotice, parseRateLimit,
} from '../upstream-notice.js';

describe('notices of upstreams', () => {
	it('are the same after they were sent between nodes, whatever the identity of the upstream', t => {
		fc.assert(fc.property(
			fc.string({unit: 'binary', minLength: 1}),
			fc.option(fc.integer(), {nil: undefined}),
			fc.option(fc.double({min: 0, noNaN: true, noDefaultInfinity: true}), {nil: undefined}),
			fc.boolean(),
			fc.nat(),
			(instance, startedAt, rateLimit, isLeaving, age) => {
				const incarnation = buildIncarnationKey(instance, startedAt);
				const notice = {
					incarnation, rateLimit, isLeaving, age: rateLimit === undefined ? 0 : age,
				};
				const text = encodeNotice(notice);
				t.regex(text, /^[\u0021-\u007E]*$/v);
				t.deepEqual(decodeNotice(text), notice);
			},
		), {seed: 21, numRuns: 300});
	});

	it('are none if they can not be read, and never throw', t => {
		fc.assert(fc.property(fc.oneof(fc.string({unit: 'binary'}), fc.array(fc.string())), text => {
			const notice = decodeNotice(text);
			t.true(notice === undefined || (notice.incarnation !== '' && notice.age >= 0));
		}), {seed: 21, numRuns: 300});
		t.is(decodeNotice(undefined), undefined);
	});

	it('take only finite numbers from 0 as a limit', t => {
		t.is(parseRateLimit('5.6'), 5.6);
		t.is(parseRateLimit('0'), 0);
		for (const text of ['', ' ', '-1', 'NaN', 'Infinity', '1e999', '5, 6', 'many', ['1', '2'], undefined]) {
			t.is(parseRateLimit(text), undefined);
		}
	});

	it('have no key for an upstream without an identity', t => {
		t.is(buildIncarnationKey(undefined, 5), '');
		t.not(buildIncarnationKey('i', 5), buildIncarnationKey('i', 6));
	});
});
