/** Finds heads of responses into which the beginning of another response was merged. */
import {type ResponseHeaders} from './forward.js';

/** A status line at the end of a text. */
const endsWithStatusLine = /HTTP\/1\.[01] [1-5]\d\d(?: .*)?$/v;

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
