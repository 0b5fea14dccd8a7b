import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {OpenConnections} from '../open-connections.js';

/** More than the operating system buffers for a connection. */
const responseBytes = 32 * 1024 * 1024;

/** Time after which bytes that are still here wait for the client. */
const settleMs = 100;

describe('open connections of a server', () => {
	it('have unsent bytes until a slow client has read on, or left', async t => {
		const server = createServer((_request, response) => {
			response.end(Buffer.alloc(responseBytes));
		});
		const connections = new OpenConnections(server);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const clients = [1, 2].map(() => {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			socket.pause();
			socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
			return socket;
		});
		await waitUntil(() => connections.hasUnsentBytes, 'respond');
		await sleep(settleMs);
		t.true(connections.hasUnsentBytes);
		clients[0]!.resume();
		await sleep(settleMs);
		t.true(connections.hasUnsentBytes);
		clients[1]!.destroy();
		await waitUntil(() => !connections.hasUnsentBytes, 'send all');
		clients[0]!.destroy();
		server.close();
		t.pass();
	});
});
