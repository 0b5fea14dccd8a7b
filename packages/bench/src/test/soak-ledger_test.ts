import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {SoakLedger} from '../soak-ledger.js';
import {isPlanned, buildSoakPlan} from '../soak-plan.js';

type Fixture = {readonly ledger: SoakLedger; readonly send: (id: string, isIdempotent?: boolean) => void; readonly advance: (duration: number) => void};

function createFixture(): Fixture {
	let now = 10_000;
	const ledger = new SoakLedger(() => now);
	return {
		ledger,
		send(id, isIdempotent = false) {
			ledger.recordSent({
				id, isIdempotent, deadline: 4000, process: 'p',
			});
		},
		advance(duration) {
			now += duration;
		},
	};
}

describe('soak ledger', () => {
	it('finds nothing where all promises are kept', t => {
		const {ledger, send, advance} = createFixture();
		send('a');
		ledger.recordRun('a', 'u');
		advance(100);
		ledger.recordEnd('a', 'answered', '');
		send('b');
		ledger.recordEnd('b', 'refused', '');
		send('c');
		advance(100);
		ledger.recordEnd('c', 'closed', '');
		t.deepEqual(ledger.violations, []);
	});

	it('excuses only the request whose response was hit by a fault', t => {
		const {ledger, send, advance} = createFixture();
		for (const id of ['hit', 'other']) {
			send(id);
			ledger.recordRun(id, 'u');
		}

		ledger.recordInjection('lost response', 'hit');
		advance(100);
		ledger.recordEnd('hit', 'failed', '');
		t.deepEqual(ledger.violations, []);
		ledger.recordEnd('other', 'failed', '');
		t.is(ledger.violations.length, 1);
	});

	it('excuses an unclean stop only if it ended a request that was hit', t => {
		const {ledger, send, advance} = createFixture();
		send('hit');
		send('other');
		ledger.recordInjection('lost response', 'hit');
		advance(5000);
		ledger.recordEnd('other', 'failed', '');
		ledger.recordStop('p', 'exit code 1', 5000);
		t.is(ledger.violations.length, 1);
		ledger.recordEnd('hit', 'failed', '');
		ledger.recordStop('p', 'exit code 1', 5000);
		t.is(ledger.violations.length, 1);
		advance(6000);
		ledger.recordStop('p', 'exit code 1', 5000);
		t.is(ledger.violations.length, 2);
	});

	it('excuses no second run and no false refusal by such a fault', t => {
		const {ledger, send} = createFixture();
		send('a');
		ledger.recordRun('a', 'u');
		ledger.recordInjection('late copy', 'a');
		ledger.recordRun('a', 'v');
		ledger.recordEnd('a', 'refused', '');
		t.is(ledger.violations.filter(violation => /at most once|true refusals/v.test(violation)).length, 2);
	});

	it('counts no request of a process that was not told of a limit or a leave', t => {
		const {ledger, send, advance} = createFixture();
		ledger.recordLimit('u', 1);
		ledger.recordLeaveTold('u', 'other');
		for (let index = 0; index < 20; index++) {
			send(`a${index}`);
			ledger.recordArrival(`a${index}`, 'u');
			advance(100);
		}

		t.deepEqual(ledger.violations, []);
	});

	const breaches: Record<string, (fixture: Fixture) => void> = {
		'more requests than a limit allows'({ledger, send, advance}) {
			ledger.recordLimit('u', 1);
			ledger.recordLimitTold('u', 'p');
			advance(600);
			for (let index = 0; index < 10; index++) {
				send(`a${index}`);
				ledger.recordArrival(`a${index}`, 'u');
			}
		},
		'a request after a leave was passed on'({ledger, send, advance}) {
			ledger.recordLeaveTold('u', 'p');
			advance(600);
			send('a');
			ledger.recordArrival('a', 'u');
		},
		'a second run'({ledger, send}) {
			send('a');
			ledger.recordRun('a', 'u');
			ledger.recordRun('a', 'v');
		},
		'a run that no caller asked for'({ledger}) {
			ledger.recordRun('a', 'u');
		},
		'a run after a refusal'({ledger, send}) {
			send('a');
			ledger.recordEnd('a', 'refused', '');
			ledger.recordRun('a', 'u');
		},
		'a refusal after a run'({ledger, send}) {
			send('a');
			ledger.recordRun('a', 'u');
			ledger.recordEnd('a', 'refused', '');
		},
		'a closed connection while an upstream is at work'({ledger, send}) {
			send('a', true);
			ledger.recordRun('a', 'u');
			ledger.recordEnd('a', 'closed', '');
		},
		'a connection that is closed late'({ledger, send, advance}) {
			send('a', true);
			advance(300);
			ledger.recordEnd('a', 'closed', '');
		},
		'a failure while an upstream is at work and a fault of the store'({ledger, send}) {
			ledger.recordFault(true);
			send('a', true);
			ledger.recordRun('a', 'u');
			ledger.recordEnd('a', 'failed', '');
		},
		'a run after the leave of the upstream'({ledger, send, advance}) {
			ledger.recordLeave('u');
			advance(600);
			send('a');
			ledger.recordRun('a', 'u');
		},
		'a run on more upstreams than the route allows'({ledger, send}) {
			send('a', true);
			for (const upstream of ['u', 'v', 'w']) {
				ledger.recordRun('a', upstream);
			}
		},
		'requests that reach upstreams after their callers have left'({ledger, send, advance}) {
			for (const id of ['a', 'b', 'c', 'd']) {
				send(id);
				ledger.recordLeft(id);
			}

			advance(600);
			for (const id of ['a', 'b', 'c', 'd']) {
				ledger.recordArrival(id, 'u');
			}
		},
		'work that goes on after the callers have left'({ledger, send, advance}) {
			for (const id of ['a', 'b', 'c', 'd']) {
				send(id, true);
				ledger.recordRun(id, 'u');
				ledger.recordLeft(id);
			}

			advance(600);
			for (const id of ['a', 'b', 'c', 'd']) {
				ledger.recordWork(id, 'u');
			}
		},
		'a request that reaches upstreams long after it has crashed three'({ledger, advance}) {
			for (let crash = 0; crash < 3; crash++) {
				ledger.recordCrashingArrival('k', 'u');
				ledger.recordCrash('k');
			}

			advance(3100);
			ledger.recordCrashingArrival('k', 'u');
		},
		'a version that goes back'({ledger, send, advance}) {
			send('a');
			ledger.recordVersionSeen('p', 'a', {atLeast: 5});
			advance(1);
			send('b');
			ledger.recordVersionSeen('p', 'b', {atMost: 4});
		},
		'a version that comes late'({ledger, send, advance}) {
			ledger.recordVersion(5);
			advance(2600);
			send('a');
			ledger.recordVersionSeen('p', 'a', {atMost: 4});
		},
	};
	for (const [name, run] of Object.entries(breaches)) {
		it(`finds ${name}`, t => {
			const fixture = createFixture();
			run(fixture);
			t.is(fixture.ledger.violations.length, 1);
		});
	}

	it('excuses lost requests during a fault of a process, and shortly after it', t => {
		const {ledger, send, advance} = createFixture();
		const end = ledger.recordFault(false);
		for (const id of ['a', 'b']) {
			send(id);
			ledger.recordRun(id, 'u');
			ledger.recordEnd(id, 'closed', '');
			end();
			advance(2000);
		}

		advance(2000);
		t.deepEqual(ledger.violations, []);
		send('c');
		ledger.recordRun('c', 'u');
		ledger.recordEnd('c', 'closed', '');
		t.is(ledger.violations.length, 1);
	});
});

describe('soak plan', () => {
	it('is the same for the same seed, and ends before the end of the soak', t => {
		const options = {
			seed: 7, duration: 60_000, vmCount: 6, hasFaults: true,
		};
		t.deepEqual(buildSoakPlan(options), buildSoakPlan(options));
		t.notDeepEqual(buildSoakPlan(options), buildSoakPlan({...options, seed: 8}));
		t.true(buildSoakPlan(options).every(event => event.at <= 51_000 && event.vm < 6));
	});

	it('without faults has planned work alone', t => {
		const plan = buildSoakPlan({
			seed: 7, duration: 60_000, vmCount: 6, hasFaults: false,
		});
		t.true(plan.length > 0);
		t.true(plan.every(event => isPlanned(event.kind)));
	});
});
