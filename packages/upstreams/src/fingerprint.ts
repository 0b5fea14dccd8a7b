/** Identifies equal requests by caller, method, host, URL and body, regardless of node and time. */
import {type Buffer} from 'node:buffer';
import {hashText} from '@ebonylead/base/hash.js';

const secondHashSeed = 0x5A_5A;
const radix = 36;

/** What identifies a request. */
export type RequestIdentity = {
	/** Name of the caller, the same at every node that its requests come to; undefined where it is not known. */
	readonly caller: string | undefined;
	readonly method: string;
	readonly host: string;
	readonly url: string;

	/** The body if it was buffered, or a text that identifies it if it was too large for that. */
	readonly body: Buffer | string;
};

/** Computes the fingerprint of a request. */
export function computeFingerprint({caller, method, host, url, body}: RequestIdentity): string {
	const bodyText = typeof body === 'string' ? body : body.toString('latin1');
	const callerText = caller === undefined ? '' : `${caller}\n`;
	return computeKey(`${callerText}${method} ${host.toLowerCase()}${url}\n${bodyText}`);
}

/** Computes a short key of a text, which is the same on every node. */
export function computeKey(text: string): string {
	return `${hashText(text).toString(radix)}-${hashText(text, secondHashSeed).toString(radix)}`;
}
