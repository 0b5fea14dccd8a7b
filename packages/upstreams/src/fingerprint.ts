/** Identifies equal requests by method, URL and body, regardless of sender and time. */
import {type Buffer} from 'node:buffer';
import {hashText} from '@ebonylead/base/hash.js';

const secondHashSeed = 0x5A_5A;
const radix = 36;

/**
 * Returns the fingerprint of a request.
 *
 * @param body The body if it was buffered, or its length if it was too large for that.
 */
export function computeFingerprint(method: string, url: string, body: Buffer | number): string {
	const bodyText = typeof body === 'number' ? `length ${body}` : body.toString('latin1');
	const text = `${method} ${url}\n${bodyText}`;
	return `${hashText(text).toString(radix)}-${hashText(text, secondHashSeed).toString(radix)}`;
}
