import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {createLogger} from '../logs.js';
import {UnexpectedErrors} from '../unexpected-errors.js';

describe('unexpected errors', () => {
	it('end the process only if they are frequent, and once', async t => {
		const clock = new FakeClock();
		let stops = 0;
		const errors = new UnexpectedErrors({
			clock, log: createLogger('silent'), onTooMany() {
				stops++;
			},
		});
		for (let count = 0; count < 100; count++) {
			errors.record(new Error('one'));
			await clock.advance(4000);
		}

		t.is(stops, 0);
		for (let count = 0; count < 30; count++) {
			errors.record('no error object');
		}

		t.is(stops, 1);
	});
});
