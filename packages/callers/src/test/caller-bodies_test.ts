import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {type IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {buffer} from 'node:stream/consumers';
import {SystemClock} from '@ebonylead/base/base.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {LargeBody} from '@ebonylead/upstreams/large-body.js';
import {ReadAheadBudget} from '@ebonylead/upstreams/read-ahead-budget.js';
import {CallerBodies, isRestExpected} from '../caller-bodies.js';

const budgetBytes = 1_000_000;
const partBytes = 100_000;

/** A request whose body is written by hand. */
function createRequest(length?: number): PassThrough & IncomingMessage {
	const headers = length === undefined ? {'transfer-encoding': 'chunked'} : {'content-length': String(length)};
	return Object.assign(new PassThrough({highWaterMark: 10 * partBytes}), {headers}) as unknown as PassThrough & IncomingMessage;
}

async function readBody(parts: number, budget: ReadAheadBudget) {
	const request = createRequest();
	const cancellation = new Cancellation();
	const reading = new CallerBodies(new SystemClock(), budget).read(request, cancellation);
	for (let part = 0; part < parts; part++) {
		request.write(Buffer.alloc(partBytes, part));
	}

	return {request, cancellation, reading};
}

describe('bodies of callers', () => {
	it('are sent when their rest is expected soon at the speed of their sender', t => {
		const slow = {isWhole: false, length: 3_000_000, bytesRead: 1_000_000};
		t.false(isRestExpected(slow, 1000));
		t.true(isRestExpected(slow, 100));
		t.false(isRestExpected(slow, 10), 'what a connection had buffered is no speed');
		t.false(isRestExpected({...slow, length: undefined}, 100));
		t.true(isRestExpected({...slow, isWhole: true}, 1000));
	});

	it('give their bytes back to the budget when their call is cancelled, and when they are sent', async t => {
		const budget = new ReadAheadBudget(budgetBytes);
		for (let count = 0; count < 5; count++) {
			const {cancellation, reading, request} = await readBody(8, budget);
			setTimeout(() => {
				cancellation.cancel(new Error('left'));
			}, 20);
			const body = await reading;
			t.true(body instanceof LargeBody);
			t.false(budget.isSpent);
			(body as LargeBody).discard();
			request.end();
		}

		for (let count = 0; count < 5; count++) {
			const {reading, request} = await readBody(8, budget);
			request.end();
			const body = await reading as LargeBody;
			t.true(body.isWhole);
			const copy = body.open();
			body.sendRest(copy);
			const sent = await buffer(copy);
			t.is(sent.length, 8 * partBytes);
			t.is(sent.at(-1), 7);
			t.false(budget.isSpent);
		}
	});

	it('are read no faster than an upstream takes them', async t => {
		const {reading, request} = await readBody(8, new ReadAheadBudget(0));
		const body = await reading as LargeBody;
		const copy = body.open();
		body.sendRest(copy);
		// Nobody reads the copy yet.
		for (let count = 0; count < 50; count++) {
			request.write(Buffer.alloc(partBytes));
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		t.true(copy.writableLength + copy.readableLength < 20 * partBytes, `${copy.writableLength + copy.readableLength} bytes are held`);
		const sent = buffer(copy);
		request.end();
		const {length} = await sent;
		t.is(length, 58 * partBytes);
	});

	it('beyond the budget are left unread, and sent without a wait', async t => {
		const budget = new ReadAheadBudget(budgetBytes);
		const {reading, request} = await readBody(16, budget);
		const body = await reading as LargeBody;
		t.true(budget.isSpent);
		t.false(body.isWhole);
		const second = createRequest(2 * budgetBytes);
		const secondReading = new CallerBodies(new SystemClock(), budget).read(second, new Cancellation());
		second.write(Buffer.alloc(3 * partBytes));
		t.false((await secondReading as LargeBody).isWhole);
		const copy = body.open();
		const sent = buffer(copy);
		body.sendRest(copy);
		request.end();
		await once(request, 'end');
		const {length} = await sent;
		t.is(length, 16 * partBytes);
		t.false(budget.isSpent);
	});
});
