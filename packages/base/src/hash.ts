/** Digests of bytes, and a 32-bit hash of texts for rendezvous hashing, ring positions and buckets. */
import {createHash} from 'node:crypto';
import murmurhash from 'murmurhash';

/** Computes the SHA-256 digest of bytes in lower-case hexadecimal. */
export function computeDigest(bytes: Uint8Array): string {
	return createHash('sha256').update(bytes).digest('hex');
}

/** Computes a 32-bit hash of a text (MurmurHash3); it is the same on every machine. */
export function hashText(text: string, seed = 0): number {
	return murmurhash.v3(text, seed);
}
