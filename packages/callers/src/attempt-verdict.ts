/** Decides what becomes of an attempt whose sidecar is silent. */
import {attemptStates, type AttemptState} from '@ebonylead/upstreams/attempt-probe.js';

/** What an entry node learned of one silent attempt. */
export type ProbeOutcome
	/** The sidecar reported the state of the attempt. */
	= | {readonly kind: 'reported'; readonly state: AttemptState; readonly knownFor: number}
	/** No process accepts connections there. */
		| {readonly kind: 'refused'; readonly reason: string}
	/** No connection could be opened. */
		| {readonly kind: 'unreachable'; readonly reason: string}
	/** A connection was opened, but no response came. */
		| {readonly kind: 'unanswered'; readonly reason: string};

/** What follows for the attempt. */
export const attemptVerdicts = {
	/** Its response may still come. */
	wait: 'wait',

	/** Its response may be lost, but may still come: only the attempt's own connection shows that it can't. */
	suspect: 'suspect',

	/** It did not run and never will. */
	notReceived: 'not-received',
} as const;

/** One of `attemptVerdicts`. */
export type AttemptVerdict = typeof attemptVerdicts[keyof typeof attemptVerdicts];

/** Time in milliseconds without a byte of the response of an ended attempt after which it is suspect: the network may deliver the response to a later probe first. */
const responseDeliveryMs = 500;

/** Times of an attempt in milliseconds. */
export type AttemptTimes = {
	/** Time since the attempt was sent. */
	readonly age: number;

	/** Time left until its deadline. */
	readonly timeLeft: number;

	/** Time since a probe first reported that it ended, counted anew after a byte of its response; undefined before. */
	readonly endedFor: number | undefined;
};

/** Chooses what follows from a probe. None ends an attempt that may have run, because the response of a process that has stopped may be on its way too. */
export function chooseVerdict(outcome: ProbeOutcome, {age, timeLeft, endedFor}: AttemptTimes): AttemptVerdict {
	switch (outcome.kind) {
		case 'refused':
		case 'unreachable':
		case 'unanswered': {
			return attemptVerdicts.suspect;
		}

		case 'reported': {
			if (outcome.state === attemptStates.ended) {
				return (endedFor ?? 0) >= responseDeliveryMs ? attemptVerdicts.suspect : attemptVerdicts.wait;
			}

			if (outcome.state !== attemptStates.notReceived) {
				return attemptVerdicts.wait;
			}

			// An earlier process may have received an attempt that is older than this one's knowledge; ended attempts are forgotten after their deadline.
			return outcome.knownFor >= age && timeLeft > 0 ? attemptVerdicts.notReceived : attemptVerdicts.suspect;
		}
	}
}
