import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {
	attemptStates, formatProbePath, parseProbePath, parseProbeResponse,
} from '../attempt-probe.js';
import {AttemptRegistry} from '../attempt-registry.js';

describe('attempt registry', () => {
	it('reports the states of an attempt in flight', t => {
		const registry = new AttemptRegistry(new FakeClock());
		const attempt = registry.register('a', 1000)!;
		t.is(registry.probe('a'), attemptStates.queued);
		attempt.setRunning();
		t.is(registry.probe('a'), attemptStates.running);
		attempt.setEnded();
		t.is(registry.probe('a'), attemptStates.ended);
	});

	it('does not report an attempt as running that ended before its upstream would have got it', t => {
		const registry = new AttemptRegistry(new FakeClock());
		const attempt = registry.register('a', 1000)!;
		attempt.setEnded();
		attempt.setRunning();
		t.is(registry.probe('a'), attemptStates.ended);
	});

	it('refuses an attempt that arrives after it was reported as not received', async t => {
		const clock = new FakeClock();
		const registry = new AttemptRegistry(clock);
		t.is(registry.probe('a'), attemptStates.notReceived);
		await clock.advance(60_000);
		t.is(registry.register('a', 1000), undefined);
		t.is(registry.probe('a'), attemptStates.notReceived);
	});

	it('never reports an attempt that ended as not received before its deadline, among many that ended later', async t => {
		const clock = new FakeClock();
		const registry = new AttemptRegistry(clock);
		registry.register('a', 3000)!.setEnded();
		for (let index = 0; index < 2000; index++) {
			registry.register(`b${index}`, 10)!.setEnded();
			await clock.advance(1);
		}

		t.is(registry.probe('a'), attemptStates.ended);
	});

	it('tells that it does not know the time before it started or forgot ended attempts', async t => {
		const clock = new FakeClock();
		const registry = new AttemptRegistry(clock);
		await clock.advance(500);
		t.is(registry.knownFor, 500);
		registry.start();
		t.is(registry.knownFor, 0);
		await clock.advance(100);
		for (let index = 0; index <= 20_000; index++) {
			registry.register(`b${index}`, 60_000)!.setEnded();
		}

		t.is(registry.knownFor, 0);
	});

	it('reports no attempt as not received if it could not remember to refuse it', t => {
		const registry = new AttemptRegistry(new FakeClock());
		for (let index = 0; index < 10_000; index++) {
			registry.probe(`b${index}`);
		}

		t.is(registry.probe('a'), attemptStates.undecided);
		t.not(registry.register('a', 1000), undefined);
	});
});

describe('attempt probe', () => {
	it('keeps its identifiers on the way, and is bounded', t => {
		t.deepEqual(parseProbePath(formatProbePath(['a-1', 'b-2'])), ['a-1', 'b-2']);
		t.is(parseProbePath(formatProbePath(Array.from({length: 257}, () => 'a'))), undefined);
		t.is(parseProbePath('/x-ebonylead/attempts'), undefined);
	});

	it('has no response without a state for each attempt', t => {
		t.true(parseProbeResponse('{"knownFor": 3, "states": ["running"]}', 1).isRight());
		for (const text of ['{"knownFor": 3, "states": ["running"]}', '{"knownFor": 3, "states": ["running", "x"]}', '{"states": ["running", "ended"]}', 'null', '']) {
			t.true(parseProbeResponse(text, 2).isLeft(), text);
		}
	});
});
