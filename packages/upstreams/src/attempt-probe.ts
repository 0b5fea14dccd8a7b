/** The request with which an entry node asks a sidecar for the states of attempts, and its response. */
import {Left, Right, type Either} from 'purify-ts';

/** Path of the request. */
export const attemptProbePath = '/x-ebonylead/attempts';

/** Value of the service header of the request; no service has that name, so that a node that does not know the request refuses it. */
export const attemptProbeService = '/x-ebonylead/attempts';

/** Maximum number of attempts in one request. */
export const maxProbedAttempts = 256;

const idsParameter = 'ids';
const idSeparator = ',';

/** States of an attempt at a sidecar. */
export const attemptStates = {
	/** It has not reached the upstream yet. */
	queued: 'queued',

	/** The upstream has it, or its response is being sent. */
	running: 'running',

	/** Its response was sent, or its connection was closed. */
	ended: 'ended',

	/** It was not received within the time of `knownFor`, and will be refused as not run if it arrives. */
	notReceived: 'not-received',

	/** The sidecar can't tell. */
	undecided: 'undecided',
} as const;

/** One of `attemptStates`. */
export type AttemptState = typeof attemptStates[keyof typeof attemptStates];

/** Response to a probe. */
export type AttemptProbeResponse = {
	/** Time in milliseconds back to which the sidecar knows every attempt that it received. */
	readonly knownFor: number;

	/** States in the order of the identifiers in the request. */
	readonly states: readonly AttemptState[];
};

const validStates = new Set<unknown>(Object.values(attemptStates));

/** Formats the path of a probe. */
export function formatProbePath(ids: readonly string[]): string {
	return `${attemptProbePath}?${idsParameter}=${ids.map(id => encodeURIComponent(id)).join(idSeparator)}`;
}

/** Parses the path of a probe; returns undefined if it has too many identifiers or none. */
export function parseProbePath(path: string): readonly string[] | undefined {
	const ids = new URL(path, 'http://node').searchParams.get(idsParameter)?.split(idSeparator) ?? [];
	return ids.length > 0 && ids.length <= maxProbedAttempts ? ids : undefined;
}

/** Parses the response to a probe for a number of attempts. */
export function parseProbeResponse(text: string, count: number): Either<string, AttemptProbeResponse> {
	try {
		const {knownFor, states} = JSON.parse(text) as Partial<AttemptProbeResponse>;
		const isValid = typeof knownFor === 'number' && Array.isArray(states) && states.length === count && states.every(state => validStates.has(state));
		return isValid ? Right({knownFor, states}) : Left('the response has no state for each attempt');
	} catch {
		return Left('the response is no JSON object');
	}
}
