/** What the tests of calls share. */
import {Buffer} from 'node:buffer';
import {connect} from 'node:net';
import {text as readText} from 'node:stream/consumers';
import {MeshHarness, type UpstreamBehaviour} from '@ebonylead/stand-ins/mesh-harness.js';
import {type ExecutionContext} from 'ava';
import {request, type Dispatcher} from 'undici';

const rules = [
	'GET a.example/** -> s deadline 2s # A',
	'GET a.example/quick/** -> s deadline 1s # A',
	'POST a.example/** -> s once deadline 2s # A',
	'POST a.example/quick -> s once deadline 1s # A',
	'POST a.example/large -> s once deadline 30s # A',
	'GET a.example/narrow -> s slots 1 deadline 300ms # A',
];

/** What a caller got. */
export type CallResponse = {
	readonly status: number;
	readonly outcome: string | undefined;
	readonly headers: Record<string, string | string[] | undefined>;
	readonly body: string;
};

/** Makes an upstream that always answers the same. */
export function buildResponder(body: string): UpstreamBehaviour {
	return (_request, response) => {
		response.writeHead(200, {'content-length': Buffer.byteLength(body)}).end(body);
	};
}

/** Makes one call, and reads its answer whole. */
export async function call(harness: MeshHarness, method: Dispatcher.HttpMethod, path: string, options: {body?: string; headers?: Record<string, string>} = {}): Promise<CallResponse> {
	const received = await request(harness.url + path, {method, body: options.body, headers: {host: 'a.example', ...options.headers}});
	return {
		status: received.statusCode, outcome: received.headers['x-ebonylead-outcome'] as string | undefined, headers: received.headers, body: await received.body.text(),
	};
}

/** Runs a test on a harness, and closes it whatever happens. */
export async function withHarness(run: (harness: MeshHarness) => Promise<void>): Promise<void> {
	const harness = new MeshHarness();
	await harness.start(rules);
	try {
		await run(harness);
	} finally {
		await harness.stop();
	}
}

/** Sends raw bytes to the entry and returns all that comes back. */
export async function sendRaw(harness: MeshHarness, bytes: string): Promise<string> {
	const socket = connect({host: '127.0.0.1', port: Number(new URL(harness.url).port)});
	socket.write(bytes);
	return readText(socket);
}

/** Checks parts of an answer. */
export async function expectResponse(t: ExecutionContext, pending: Promise<CallResponse>, expected: Partial<CallResponse>): Promise<void> {
	t.like(await pending, expected);
}

/** Reads an answer whose body is the headers that the upstream got. */
export async function readEcho(pending: Promise<CallResponse>): Promise<Record<string, string>> {
	const {body} = await pending;
	return JSON.parse(body) as Record<string, string>;
}
