import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {ActiveVersion} from '@ebonylead/rules/active-version.js';
import {
	BeatRequest, FetchReply, PushRequest, SyncRequest,
} from '../generated/peers.js';
import {decodeDelta, readSnapshotMessage} from '../version-messages.js';

/** Returns the decoded value, or undefined if decoding throws an Error; anything else that is thrown fails the test. */
function decodeSafely<T>(decode: () => T): T | undefined {
	try {
		return decode();
	} catch (error) {
		if (error instanceof Error) {
			return undefined;
		}

		throw error;
	}
}

describe('decoders that a peer can reach', () => {
	it('return a value or throw an error for random bytes, and never activate such a value', t => {
		const activeVersion = new ActiveVersion();
		t.notThrows(() => {
			fc.assert(fc.property(fc.uint8Array({maxLength: 200}), bytes => {
				const buffer = Buffer.from(bytes);
				for (const message of [PushRequest, BeatRequest, SyncRequest, FetchReply]) {
					decodeSafely(() => message.decode(buffer));
				}

				const delta = decodeSafely(() => decodeDelta(bytes));
				if (delta) {
					decodeSafely(() => activeVersion.applyDelta(delta));
				}

				readSnapshotMessage({version: 1, digest: buffer.subarray(0, 32), content: buffer}).ifRight(encoded => activeVersion.apply(encoded));
				return activeVersion.version === 0;
			}), {seed: 20_261_203, numRuns: 1000});
		});
	});
});
