/** Compressed JSON in the messages between nodes. */
import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';

/** The lowest level, as processor time is scarcer than the little that the usual level saves. */
const compressionLevel = 1;

/** Maximum size of a text in bytes after it is expanded, which bounds the memory that a faulty node can take. */
const maxExpandedBytes = 16 * 1024 * 1024;

/** Encodes a value as JSON, compressed, in base64. */
export function encodeCompressed(value: unknown): string {
	return gzipSync(JSON.stringify(value), {level: compressionLevel}).toString('base64');
}

/**
 * Decodes what `encodeCompressed` has encoded.
 *
 * @throws RangeError with the code `ERR_BUFFER_TOO_LARGE` if it expands to too much, or Error if it is malformed.
 */
export function decodeCompressed(text: string): unknown {
	return JSON.parse(gunzipSync(Buffer.from(text, 'base64'), {maxOutputLength: maxExpandedBytes}).toString());
}
