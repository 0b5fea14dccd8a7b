import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {validateSettings} from '../settings.js';

function buildSettings(overrides: Record<string, unknown> = {}): Record<string, unknown> {
	return {
		deployment: 'd',
		node: {
			id: 'n', host: '10.0.0.1', dataCentre: 'a', region: 'r',
		},
		listeners: {
			callers: 1, mesh: 2, peers: 3, operators: 4, announcements: 5,
		},
		platform: {url: 'http://10.0.0.9:7000'},
		...overrides,
	};
}

function listFaults(overrides: Record<string, unknown>): string {
	return validateSettings(buildSettings(overrides)).swap().unsafeCoerce().join('\n');
}

describe('settings', () => {
	it('fill in the defaults', t => {
		const settings = validateSettings(buildSettings()).unsafeCoerce();
		t.is(settings.platform.timeout, 2000);
		t.is(settings.spreading, 'convergence');
		t.deepEqual(settings.peers, []);
	});

	it('report the path of a fault and what is allowed', t => {
		t.regex(listFaults({spread: 1}), /key "spread" is not known; known keys are deployment, node, /v);
		t.regex(listFaults({deployment: 7}), /deployment: 7 must be string/v);
		t.regex(listFaults({spreading: 'fast'}), /spreading: "fast" is not allowed; write one of "convergence", "bytes"/v);
		t.regex(listFaults({stopTimeout: -1}), /stopTimeout: -1 must be >= 0/v);
		t.regex(listFaults({platform: {}}), /platform: key "url" is missing/v);
		t.regex(listFaults({
			listeners: {
				callers: 1, mesh: 1, peers: 3, operators: 4, announcements: 5,
			},
		}), /listeners\.mesh: port 1 is used by two listeners/v);
	});

	it('report all faults at once', t => {
		t.is(listFaults({deployment: 7, spreading: 'fast', extra: true}).split('\n').length, 3);
	});

	it('never throw for any JSON value', t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.jsonValue(), value => {
				validateSettings(value);
			}), {seed: 20_261_203, numRuns: 200});
		});
	});
});
