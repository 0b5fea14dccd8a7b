import {Buffer} from 'node:buffer';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import fc from 'fast-check';
import {ByteQueue} from '../byte-queue.js';

/** Memory beside twice the bytes themselves, in bytes: a block. */
const maxFixedBytes = 16 * 1024;
const runs = 300;

/** Sizes of parts: single bytes, usual ones, and some above the size of a block. */
const partSizes = fc.array(fc.oneof(fc.constant(1), fc.integer({min: 0, max: 3000}), fc.integer({min: 10_000, max: 70_000})), {maxLength: 60});

function buildParts(sizes: readonly number[]): Buffer[] {
	// As a parser hands them out: views of a read with framing before and after them.
	return sizes.map((size, index) => Buffer.alloc((2 * size) + 100, index % 251).subarray(50, 50 + size));
}

describe('a queue of bytes', () => {
	it('returns the bytes that were appended, in order and once', t => {
		fc.assert(fc.property(partSizes, fc.boolean(), (sizes, isOneBuffer) => {
			const parts = buildParts(sizes);
			const queue = new ByteQueue();
			for (const part of parts) {
				queue.add(part);
			}

			t.is(queue.length, Buffer.concat(parts).length);
			const taken = isOneBuffer ? queue.take() : Buffer.concat(queue.takeBlocks());
			t.true(taken.equals(Buffer.concat(parts)));
			t.is(queue.length, 0);
			t.is(queue.heldBytes, 0);
			t.is(queue.take().length, 0);
		}), {numRuns: runs, seed: 61});
	});

	// Guards against memory that grows with the number of parts.
	it('keeps at most twice its bytes alive, whatever the parts are', t => {
		fc.assert(fc.property(partSizes, sizes => {
			const queue = new ByteQueue();
			for (const part of buildParts(sizes)) {
				queue.add(part);
			}

			t.true(queue.heldBytes <= (2 * queue.length) + maxFixedBytes, `${queue.heldBytes} for ${queue.length}`);
			const {length} = queue;
			t.true(queue.takeBlocks().length <= (length / 1024) + 2);
		}), {numRuns: runs, seed: 61});
	});

	it('keeps at most twice its bytes alive where large and small parts alternate', t => {
		const queue = new ByteQueue();
		for (let count = 0; count < 50; count++) {
			queue.add(Buffer.alloc(32 * 1024).subarray(0, 16 * 1024));
			queue.add(Buffer.alloc(1));
		}

		t.true(queue.heldBytes <= (2 * queue.length) + maxFixedBytes);
	});

	it('returns a part of a usual size in one block', t => {
		for (const size of [1, 1500, 12_000, 16_384, 65_536]) {
			const queue = new ByteQueue();
			queue.add(Buffer.alloc(size));
			t.is(queue.takeBlocks().length, 1, `${size}`);
		}
	});

	it('does not keep the read alive that a part is a small view of', t => {
		const queue = new ByteQueue();
		const read = Buffer.alloc(1_000_000);
		queue.add(read.subarray(0, 20_000));
		t.true(queue.heldBytes < 50_000);
		t.true(queue.takeBlocks().every(block => block.buffer !== read.buffer));
	});

	it('accepts further parts after it was emptied', t => {
		const queue = new ByteQueue();
		queue.add(Buffer.from('ab'));
		t.is(String(queue.take()), 'ab');
		queue.add(Buffer.from('c'));
		queue.add(Buffer.from('d'));
		t.is(String(queue.take()), 'cd');
	});
});
