import {Buffer} from 'node:buffer';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {computeFingerprint} from '../fingerprint.js';
import {Quarantine, quarantineDurationMs} from '../quarantine.js';

describe('quarantine', () => {
	it('makes a request a suspect after one crash, and quarantines it after two', t => {
		const quarantine = new Quarantine(new FakeClock());
		t.is(quarantine.getStatus('x'), 'clear');
		quarantine.recordCrash(['x', 'y']);
		t.is(quarantine.getStatus('x'), 'suspect');
		quarantine.recordCrash(['x']);
		t.is(quarantine.getStatus('x'), 'quarantined');
		t.deepEqual(quarantine.quarantined, ['x']);
	});

	it('clears a suspect that ran without a crash, but not a quarantined request', t => {
		const quarantine = new Quarantine(new FakeClock());
		quarantine.recordCrash(['x']);
		quarantine.recordSuccess('x');
		t.is(quarantine.getStatus('x'), 'clear');
		quarantine.merge([{fingerprint: 'x', crashes: 2}]);
		quarantine.recordSuccess('x');
		t.is(quarantine.getStatus('x'), 'quarantined');
	});

	it('keeps the highest reported crash count, whatever the order of the reports', t => {
		const quarantine = new Quarantine(new FakeClock());
		t.is(quarantine.merge([{fingerprint: 'x', crashes: 2}]).length, 1);
		t.is(quarantine.merge([{fingerprint: 'x', crashes: 1}]).length, 0);
		t.is(quarantine.getStatus('x'), 'quarantined');
	});

	it('releases a request when its entry expires', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		quarantine.merge([{fingerprint: 'x', crashes: 2}]);
		await clock.advance(quarantineDurationMs + 1);
		t.is(quarantine.getStatus('x'), 'clear');
		t.true(quarantine.isEmpty);
	});
});

describe('fingerprint', () => {
	it('is the same for the same request, and differs by method, path and body', t => {
		const fingerprints = [
			computeFingerprint('POST', '/x', Buffer.from('a')),
			computeFingerprint('POST', '/x', Buffer.from('b')),
			computeFingerprint('PUT', '/x', Buffer.from('a')),
			computeFingerprint('POST', '/y', Buffer.from('a')),
			computeFingerprint('POST', '/x', 100_000),
		];
		t.is(new Set(fingerprints).size, fingerprints.length);
		t.is(computeFingerprint('POST', '/x', Buffer.from('a')), fingerprints[0]!);
	});
});
