/** Identifies equal requests by method, host, URL and body, regardless of sender and time. */
import {type Buffer} from 'node:buffer';
import {hashText} from '@ebonylead/base/hash.js';

const secondHashSeed = 0x5A_5A;
const radix = 36;

/** What identifies a request. */
export type RequestIdentity = {
	readonly method: string;
	readonly host: string;
	readonly url: string;

	/** The body if it was buffered, or a text that identifies it if it was too large for that. */
	readonly body: Buffer | string;
};

/** Computes the fingerprint of a request. */
export function computeFingerprint({method, host, url, body}: RequestIdentity): string {
	const bodyText = typeof body === 'string' ? body : body.toString('latin1');
	return computeKey(`${method} ${host.toLowerCase()}${url}\n${bodyText}`);
}

/** Computes a short key of a text, which is the same on every node. */
export function computeKey(text: string): string {
	return `${hashText(text).toString(radix)}-${hashText(text, secondHashSeed).toString(radix)}`;
}
