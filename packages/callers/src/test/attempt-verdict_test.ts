import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {attemptStates, type AttemptState} from '@ebonylead/upstreams/attempt-probe.js';
import {attemptVerdicts, chooseVerdict, type AttemptTimes} from '../attempt-verdict.js';

const times: AttemptTimes = {age: 600, timeLeft: 400, endedFor: undefined};

function chooseForState(state: AttemptState, knownFor: number, changes: Partial<AttemptTimes> = {}) {
	return chooseVerdict({kind: 'reported', state, knownFor}, {...times, ...changes});
}

describe('the verdict on a silent attempt', () => {
	it('is to wait while the sidecar has the call', t => {
		t.is(chooseForState(attemptStates.queued, 10_000), attemptVerdicts.wait);
		t.is(chooseForState(attemptStates.running, 10_000), attemptVerdicts.wait);
		t.is(chooseForState(attemptStates.undecided, 10_000), attemptVerdicts.wait);
	});

	it('is never an end because the sidecar does not respond', t => {
		t.is(chooseVerdict({kind: 'unanswered', reason: ''}, times), attemptVerdicts.suspect);
		t.is(chooseVerdict({kind: 'unreachable', reason: ''}, times), attemptVerdicts.suspect);
	});

	it('is not received only if the process knows all the time since the attempt was sent', t => {
		t.is(chooseForState(attemptStates.notReceived, 600), attemptVerdicts.notReceived);
		t.is(chooseForState(attemptStates.notReceived, 599), attemptVerdicts.suspect);
	});

	it('is not "not received" after the deadline, when the sidecar may have forgotten the call', t => {
		t.is(chooseForState(attemptStates.notReceived, 10_000, {timeLeft: 0}), attemptVerdicts.suspect);
	});

	it('leaves time for the response of an ended attempt to arrive', t => {
		t.is(chooseForState(attemptStates.ended, 10_000, {endedFor: 0}), attemptVerdicts.wait);
		t.is(chooseForState(attemptStates.ended, 10_000, {endedFor: 499}), attemptVerdicts.wait);
		t.is(chooseForState(attemptStates.ended, 10_000, {endedFor: 500}), attemptVerdicts.suspect);
	});

	it('is never an end because the process stopped, as its response may be on its way', t => {
		t.is(chooseVerdict({kind: 'refused', reason: ''}, times), attemptVerdicts.suspect);
	});
});
