import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {NamedLimit} from '../named-limit.js';

describe('the limit that an upstream names', () => {
	it('begins and changes with its responses, and ends with one that names none', t => {
		const limit = new NamedLimit();
		t.true(limit.record(5, 0, 10));
		t.false(limit.record(5, 20, 30));
		t.true(limit.record(8, 40, 50));
		t.is(limit.rate, 8);
		t.true(limit.record(undefined, 60, 70));
		t.is(limit.rate, undefined);
	});

	it('is not ended or raised by a response that may be older than the one that named it', t => {
		const limit = new NamedLimit();
		limit.record(5, 0, 100);
		t.false(limit.record(undefined, 90, 110));
		t.false(limit.record(9, 99, 120));
		t.is(limit.rate, 5);
	});

	it('is lowered by any response', t => {
		const limit = new NamedLimit();
		limit.record(5, 0, 100);
		t.true(limit.record(3, 50, 110));
		t.is(limit.rate, 3);
	});

	it('rises while many calls overlap', t => {
		const limit = new NamedLimit();
		limit.record(5, 0, 100);
		// Each call is sent before the response of the one before it arrives.
		for (let sentAt = 90; sentAt < 300; sentAt += 10) {
			limit.record(20, sentAt, sentAt + 50);
		}

		t.is(limit.rate, 20);
	});
});
