import {Buffer} from 'node:buffer';
import {chooseInteger} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {decodeCrashRecords, encodeCrashRecords, type CrashRecord} from '../crash-record.js';
import {computeFingerprint} from '../fingerprint.js';
import {Quarantine, quarantineDurationMs} from '../quarantine.js';

const ranForMs = 100;
const gapMs = 500;

/** Builds what was in flight at a crash. */
function buildRuns(...fingerprints: string[]): Map<string, number> {
	return new Map(fingerprints.map(fingerprint => [fingerprint, ranForMs]));
}

function buildRecord(change: Partial<CrashRecord> = {}): CrashRecord {
	return {
		fingerprint: 'x', crash: 'c1', inFlight: 9, age: 0, ranFor: ranForMs, isAcquitted: false, ...change,
	};
}

describe('quarantine', () => {
	it('makes a request a suspect after one crash with nothing else in flight, and quarantines it after two', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		t.is(quarantine.getStatus('x'), 'clear');
		quarantine.recordCrash('c1', buildRuns('x'));
		t.is(quarantine.getStatus('x'), 'suspect');
		await clock.advance(gapMs);
		quarantine.recordCrash('c2', buildRuns('x'));
		t.is(quarantine.getStatus('x'), 'quarantined');
		t.deepEqual(quarantine.quarantined, ['x']);
	});

	it('makes a request a suspect after two crashes with others in flight, and quarantines it after three', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		const statuses = [];
		for (const [index, other] of ['a', 'b', 'c'].entries()) {
			quarantine.recordCrash(`c${index}`, buildRuns('x', other));
			statuses.push(quarantine.getStatus('x'));
			t.is(quarantine.getStatus(other), 'clear');
			await clock.advance(gapMs);
		}

		t.deepEqual(statuses, ['clear', 'suspect', 'quarantined']);
	});

	it('counts crashes that nodes saw one by one, in any order and however often it learns of them', t => {
		const records = [0, 1, 2].map(index => buildRecord({crash: `c${index}`, age: index * gapMs}));
		for (const order of [[0, 1, 2], [2, 1, 0], [1, 1, 0, 1, 2]]) {
			const quarantine = new Quarantine(new FakeClock());
			for (const index of order) {
				t.not(quarantine.getStatus('x'), 'quarantined');
				quarantine.merge([records[index]!]);
			}

			t.is(quarantine.countCrashes('x'), 3);
			t.is(quarantine.getStatus('x'), 'quarantined');
		}
	});

	it('counts upstreams that fail at the same time as one crash, however many requests run at all of them', t => {
		const quarantine = new Quarantine(new FakeClock());
		for (const crash of ['c1', 'c2', 'c3', 'c4']) {
			quarantine.recordCrash(crash, buildRuns('popular', crash));
		}

		t.is(quarantine.getStatus('popular'), 'clear');
	});

	it('acquits a request that ran without a crash, also one that is quarantined, and in whatever order another node learns of it', async t => {
		const clock = new FakeClock();
		const changes: CrashRecord[] = [];
		const quarantine = new Quarantine(clock, undefined, records => {
			changes.push(...records);
		});
		for (const crash of ['c1', 'c2', 'c3']) {
			quarantine.recordCrash(crash, buildRuns('x', 'y'));
			await clock.advance(gapMs);
		}

		t.is(quarantine.getStatus('x'), 'quarantined');
		quarantine.recordSuccess('x');
		t.is(quarantine.getStatus('x'), 'clear');
		t.is(quarantine.getStatus('y'), 'quarantined');
		const other = new Quarantine(clock);
		other.merge(changes.toReversed());
		t.is(other.getStatus('x'), 'clear');
		t.is(other.countCrashes('y'), 1, 'the records of y keep the ages that they had when they were sent');
		t.is(other.digest, quarantine.digest);
	});

	it('comes to the same records and digest in whatever order the records arrive', t => {
		const clock = new FakeClock();
		const random = new SeededRandom(24);
		const records = Array.from({length: 1000}, () => buildRecord({
			fingerprint: `f${chooseInteger(random, 20)}`, crash: `c${chooseInteger(random, 40)}`, isAcquitted: random.next() < 0.3,
		}));
		const build = () => {
			const quarantine = new Quarantine(clock);
			for (const record of records.toSorted(() => random.next() - 0.5)) {
				quarantine.merge([record]);
			}

			return quarantine;
		};

		const [first, second] = [build(), build()];
		t.is(first.digest, second.digest);
		t.true(first.listRecords('f0').length < 40);
		for (let index = 0; index < 20; index++) {
			t.is(first.getStatus(`f${index}`), second.getStatus(`f${index}`));
		}
	});

	it('lists what counts against a request, and runs it again when an operator lifts it', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		quarantine.recordCrash('c1', buildRuns('x'));
		await clock.advance(gapMs);
		quarantine.recordCrash('c2', buildRuns('x'));
		t.like(quarantine.listRequests(), [{fingerprint: 'x', status: 'quarantined'}]);
		t.is(quarantine.listRequests()[0]!.crashes.length, 2);
		t.true(quarantine.lift('x'));
		t.deepEqual(quarantine.listRequests(), []);
		t.false(quarantine.lift('x'));
	});

	it('releases a request when its crashes expire, and then takes none of them from another node', async t => {
		const clock = new FakeClock();
		const quarantine = new Quarantine(clock);
		const records = [0, 1, 2].map(index => buildRecord({crash: `c${index}`, age: index * gapMs}));
		quarantine.merge(records);
		t.is(quarantine.getStatus('x'), 'quarantined');
		await clock.advance(quarantineDurationMs + 1);
		t.is(quarantine.getStatus('x'), 'clear');
		t.true(quarantine.isEmpty);
		t.is(quarantine.digest, '');
		quarantine.merge(records.map(record => ({...record, age: record.age + quarantineDurationMs + 1})));
		t.true(quarantine.isEmpty);
	});
});

describe('crash records', () => {
	it('are the same after they were encoded and decoded', t => {
		const records = [buildRecord(), buildRecord({crash: 'c2', isAcquitted: true})];
		t.deepEqual(decodeCrashRecords(encodeCrashRecords(records)), records);
	});

	it('are left out if they are malformed', t => {
		for (const text of [undefined, '', 'x', '{}', 'null', '[1]', '[[]]', '[["x","c",0,0,0,0]]', '[["x","c",1,-1,0,0]]', '[["","c",1,0,0,0]]', `[["${'x'.repeat(100)}","c",1,0,0,0]]`]) {
			t.deepEqual(decodeCrashRecords(text), [], text);
		}
	});
});

describe('fingerprint', () => {
	it('is the same for the same request, and differs by method, host, path and body', t => {
		const identity = {
			method: 'POST', host: 'a.example', url: '/x', body: Buffer.from('a'),
		};
		const fingerprints = [
			computeFingerprint(identity),
			computeFingerprint({...identity, body: Buffer.from('b')}),
			computeFingerprint({...identity, method: 'PUT'}),
			computeFingerprint({...identity, url: '/y'}),
			computeFingerprint({...identity, host: 'b.example'}),
			computeFingerprint({...identity, body: 100_000}),
		];
		t.is(new Set(fingerprints).size, fingerprints.length);
		t.is(computeFingerprint({...identity, host: 'A.example'}), fingerprints[0]!);
	});
});
