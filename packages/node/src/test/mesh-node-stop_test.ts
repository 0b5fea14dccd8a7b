import {once} from 'node:events';
import {connect, createServer, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {createLogger} from '@ebonylead/base/logs.js';
import {DefaultCallerProtocol} from '@ebonylead/callers/caller-protocol.js';
import {type RuleSource} from '@ebonylead/rules/rule-source.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {DefaultUpstreamProtocol} from '@ebonylead/upstreams/upstream-protocol.js';
import {Registry} from 'prom-client';
import {MeshNode} from '../mesh-node.js';

const host = '127.0.0.1';

/** Time after the begin of a stop at which all that remains is to close. */
const lastPhaseMs = 3050;

/** Longer than the rest of the stop takes. */
const pauseMs = 500;

const ruleSource: RuleSource = {
	isUnavailable: false,
	freshUntil: Number.POSITIVE_INFINITY,
	async run(_signal, onRules) {
		onRules({snapshot: {version: 1, rules: []}, limits: undefined});
	},
};

async function findFreePort(): Promise<number> {
	const server = createServer().listen(0, host);
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	server.close();
	await once(server, 'close');
	return port;
}

function pause(duration: number): void {
	const end = performance.now() + duration;
	while (performance.now() < end) {
		// Takes the processor from all else in this process.
	}
}

describe('mesh node that stops', () => {
	it('responds to a request that arrives while it gets no processor time', async t => {
		const callerPort = await findFreePort();
		const node = new MeshNode({
			settings: {
				id: 'n', dataCentre: 'a', region: 'r', host, seedHosts: [], meshPort: await findFreePort(), callerPort, retrySlack: 1, retryRatio: 0.1, stopTimeout: 6000,
			},
			store: new FakeRowStore(),
			ruleSource,
			callerProtocol: new DefaultCallerProtocol(),
			upstreamProtocol: new DefaultUpstreamProtocol(),
			registry: new Registry(),
			log: createLogger('silent'),
		});
		await node.start();
		await waitUntil(() => node.isReady, 'be ready');
		const socket = connect(callerPort, host);
		await once(socket, 'connect');
		let text = '';
		socket.on('data', chunk => {
			text += String(chunk);
		});
		const closed = once(socket, 'close');
		const stopped = node.stop();
		await sleep(lastPhaseMs);
		// After an immediate callback, the event loop runs timers before it reads from sockets.
		setImmediate(() => {
			socket.write('GET /x HTTP/1.1\r\nhost: a\r\n\r\n');
			pause(pauseMs);
		});
		await Promise.all([stopped, closed]);
		t.regex(text, /^HTTP\/1\.1 503/v);
	});
});
