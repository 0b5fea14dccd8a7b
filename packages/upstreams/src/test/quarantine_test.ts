import {Buffer} from 'node:buffer';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {computeFingerprint} from '../fingerprint.js';
import {Quarantine, quarantineTime} from '../quarantine.js';

describe('quarantine', () => {
	it('suspects after one death, and ends a request after two', t => {
		const quarantine = new Quarantine(new FakeClock());
		t.is(quarantine.judge('x'), 'clear');
		quarantine.recordCrash(['x', 'y']);
		t.is(quarantine.judge('x'), 'suspect');
		quarantine.recordCrash(['x']);
		t.is(quarantine.judge('x'), 'quarantined');
		t.deepEqual(quarantine.quarantined, ['x']);
	});

	it('clears a suspect that ran alone without harm, but not one that is quarantined', t => {
		const quarantine = new Quarantine(new FakeClock());
		quarantine.recordCrash(['x']);
		quarantine.recordSuccess('x');
		t.is(quarantine.judge('x'), 'clear');
		quarantine.merge([{fingerprint: 'x', crashes: 2}]);
		quarantine.recordSuccess('x');
		t.is(quarantine.judge('x'), 'quarantined');
	});

	it('keeps the highest count that anybody reports, in any order', t => {
		const quarantine = new Quarantine(new FakeClock());
		t.is(quarantine.merge([{fingerprint: 'x', crashes: 2}]).length, 1);
		t.is(quarantine.merge([{fingerprint: 'x', crashes: 1}]).length, 0);
		t.is(quarantine.judge('x'), 'quarantined');
	});

	it('releases a request by age', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		quarantine.merge([{fingerprint: 'x', crashes: 2}]);
		await clock.advance(quarantineTime + 1);
		t.is(quarantine.judge('x'), 'clear');
		t.true(quarantine.isEmpty);
	});
});

describe('fingerprint', () => {
	it('is the same for the same request, and differs by method, path and body', t => {
		const prints = [
			computeFingerprint('POST', '/x', Buffer.from('a')),
			computeFingerprint('POST', '/x', Buffer.from('b')),
			computeFingerprint('PUT', '/x', Buffer.from('a')),
			computeFingerprint('POST', '/y', Buffer.from('a')),
			computeFingerprint('POST', '/x', 100_000),
		];
		t.is(new Set(prints).size, prints.length);
		t.is(computeFingerprint('POST', '/x', Buffer.from('a')), prints[0]!);
	});
});
