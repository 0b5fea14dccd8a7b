import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {AttemptProber, type AttemptProbe, type SilentAttempt} from '../attempt-prober.js';
import {type ProbeOutcome} from '../attempt-verdict.js';

const running: ProbeOutcome = {kind: 'reported', state: 'running', knownFor: 1000};

/** Records the probes, and responds to each after a time. */
class RecordingProbe implements AttemptProbe {
	readonly sent: Array<{readonly origin: string; readonly ids: readonly string[]}> = [];
	readonly #clock: FakeClock;
	readonly #duration: number;

	constructor(clock: FakeClock, duration: number) {
		this.#clock = clock;
		this.#duration = duration;
	}

	async send(origin: string, ids: readonly string[]): Promise<readonly ProbeOutcome[]> {
		this.sent.push({origin, ids});
		await this.#clock.sleep(this.#duration);
		return ids.map(() => running);
	}
}

function createAttempt(id: string, origin = 'http://a'): SilentAttempt & {count: number} {
	return {
		id, origin, count: 0, handleProbe() {
			this.count++;
		},
	};
}

describe('attempt prober', () => {
	it('sends one probe at a time to a sidecar, for all attempts that it is silent on', async t => {
		const clock = new FakeClock();
		const probe = new RecordingProbe(clock, 100);
		const prober = new AttemptProber(probe, clock);
		const attempts = ['1', '2', '3'].map(id => createAttempt(id));
		for (const attempt of attempts) {
			prober.add(attempt);
		}

		prober.add(createAttempt('4', 'http://b'));
		await clock.advance(399);
		t.deepEqual(probe.sent, [{origin: 'http://a', ids: ['1']}, {origin: 'http://b', ids: ['4']}]);
		await clock.advance(1);
		t.deepEqual(probe.sent.slice(2), [{origin: 'http://a', ids: ['2', '3', '1']}, {origin: 'http://b', ids: ['4']}]);
		await clock.advance(100);
		t.deepEqual(attempts.map(({count}) => count), [2, 1, 1]);
	});

	it('asks less and less often while the sidecar has the call', async t => {
		const clock = new FakeClock();
		const probe = new RecordingProbe(clock, 0);
		const prober = new AttemptProber(probe, clock);
		prober.add(createAttempt('1'));
		await clock.advance(10_000);
		t.true(probe.sent.length >= 7 && probe.sent.length <= 11, `${probe.sent.length} probes in 10 s`);
	});

	it('stops when no attempt is silent, and starts again', async t => {
		const clock = new FakeClock();
		const probe = new RecordingProbe(clock, 100);
		const prober = new AttemptProber(probe, clock);
		const attempt = createAttempt('1');
		prober.add(attempt);
		await clock.advance(50);
		prober.remove(attempt);
		await clock.advance(10_000);
		t.is(attempt.count, 0);
		t.is(probe.sent.length, 1);
		prober.add(attempt);
		await clock.advance(100);
		t.is(probe.sent.length, 2);
		t.is(attempt.count, 1);
	});

	it('reaches every attempt if there are more than one probe holds', async t => {
		const clock = new FakeClock();
		const probe = new RecordingProbe(clock, 0);
		const prober = new AttemptProber(probe, clock);
		const attempts = Array.from({length: 600}, (_, index) => createAttempt(String(index)));
		for (const attempt of attempts) {
			prober.add(attempt);
		}

		await clock.advance(950);
		t.true(probe.sent.every(({ids}) => ids.length <= 256));
		t.true(attempts.every(({count}) => count >= 1));
	});
});
