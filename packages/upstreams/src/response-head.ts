/** Finds heads that are no response to one request: with a status that HTTP does not have, or with the beginning of another response merged into them. */
import {type ResponseHeaders} from './forward.js';

/** A status line at the end of a text. */
const endsWithStatusLine = /HTTP\/1\.[01] \d{3}(?: .*)?$/v;

/**
 * Returns whether a head begins with that of an earlier response that broke off.
 *
 * The status line of the later response then stands in the reason phrase or in
 * the last header of the earlier one; the status is that of the earlier one,
 * and most headers are those of the later one.
 */
export function isMerged(reasonPhrase: string | undefined, headers: ResponseHeaders): boolean {
	return endsWithStatusLine.test(reasonPhrase ?? '')
		|| Object.values(headers).flat().some(value => value !== undefined && endsWithStatusLine.test(value));
}

/** What a status says of the response that begins with it. */
export const statusKinds = {
	/** The final response follows. */
	interim: 'interim',
	final: 'final',

	/** HTTP has no such status, or none for a request that does not ask for another protocol. */
	invalid: 'invalid',
} as const;

/** One of `statusKinds`. */
export type StatusKind = typeof statusKinds[keyof typeof statusKinds];

const firstInterimStatus = 100;
const statusSwitchingProtocols = 101;
const firstFinalStatus = 200;
const lastFinalStatus = 599;

/** Classifies a status by RFC 9110, section 15. Nodes never send `Upgrade`, so that 101 is invalid. */
export function classifyStatus(status: number): StatusKind {
	if (status >= firstFinalStatus && status <= lastFinalStatus) {
		return statusKinds.final;
	}

	const isInterim = status >= firstInterimStatus && status < firstFinalStatus && status !== statusSwitchingProtocols;
	return isInterim ? statusKinds.interim : statusKinds.invalid;
}
