import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo, type Socket} from 'node:net';
import {gzipSync} from 'node:zlib';
import {SystemClock} from '@ebonylead/base/base.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {HttpAttemptProbe} from '@ebonylead/callers/http-attempt-probe.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {PeerStateFetcher} from '../peer-state.js';
import {RowCache} from '../row-cache.js';
import {RulesHistory} from '../rules-history.js';

const host = '127.0.0.1';

/** Bytes after which a message is far longer than any of a node. */
const maxBytes = 64 * 1024 * 1024;

/** A compressed text of 64 MB, as a faulty node may send it in a line of its feed. */
const compressed = gzipSync(Buffer.alloc(maxBytes, ' ')).toString('base64');

/** A node that sends a head, and then the same block without end. */
class FloodingPeer {
	readonly head: string;
	readonly block: Buffer;
	sentBytes = 0;
	readonly sockets: Socket[] = [];
	readonly #server = createServer(socket => {
		this.sockets.push(socket);
		socket.on('error', () => undefined);
		socket.once('data', () => {
			socket.write(this.head);
			this.#writeNext(socket);
		});
	});

	constructor(head: string, block: Buffer) {
		this.head = head;
		this.block = block;
	}

	async start(): Promise<number> {
		this.#server.listen(0, host);
		await once(this.#server, 'listening');
		return (this.#server.address() as AddressInfo).port;
	}

	stop(): void {
		this.#server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}

	#writeNext(socket: Socket): void {
		this.sentBytes += this.block.length;
		socket.write(this.block, error => {
			if (!error && socket.writable) {
				this.#writeNext(socket);
			}
		});
	}
}

const bodyHead = 'HTTP/1.1 200 OK\r\n\r\n';
const block = Buffer.alloc(65_536, 'x');

function buildMember(id: string, meshPort: number): Member {
	return {
		id, incarnation: 1, dataCentre: 'a', region: 'r', host, peerPort: 1, meshPort, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 1, instance: 1,
	};
}

describe('a node that sends without end', () => {
	for (const [name, head] of Object.entries({'a state': bodyHead, 'the header of a state': 'HTTP/1.1 200 OK\r\na: '})) {
		it(`${name} is given up, and its connection closed`, async t => {
			const peer = new FloodingPeer(head, block);
			const port = await peer.start();
			const membership = new Membership();
			membership.merge([buildMember('n2', port)], 0);
			const controller = new AbortController();
			const fetcher = new PeerStateFetcher({
				self: buildMember('n1', port),
				seedHosts: [],
				membership,
				clock: new SystemClock(),
				random: new SeededRandom(1),
				log: createLogger('silent'),
				isStoreUnavailable: () => false,
				getVersion: () => 1,
				listVersions: () => [],
				onState: () => undefined,
			});
			const running = fetcher.run(controller.signal);
			fetcher.recordVersion(2, `http://${host}:${port}`);
			await waitUntil(() => peer.sockets[0]?.destroyed ?? false, 'close the connection');
			t.true(peer.sentBytes < maxBytes, `${peer.sentBytes} bytes were sent`);
			controller.abort();
			await running;
			peer.stop();
		});
	}

	it('the response to a probe is given up, and its connection closed', async t => {
		const peer = new FloodingPeer(bodyHead, block);
		const port = await peer.start();
		const [outcome] = await new HttpAttemptProbe().send(`http://${host}:${port}`, ['a']);
		t.is(outcome!.kind, 'unanswered');
		await waitUntil(() => peer.sockets[0]!.destroyed, 'close the connection');
		t.true(peer.sentBytes < maxBytes, `${peer.sentBytes} bytes were sent`);
		peer.stop();
	});
});

describe('a node that sends little that expands to much', () => {
	it('has its rules refused before they are expanded', t => {
		const error = t.throws(() => new RulesHistory().decodeUpdate({version: 2, gzip: compressed}));
		t.is((error as NodeJS.ErrnoException).code, 'ERR_BUFFER_TOO_LARGE');
	});

	it('has its rows refused before they are expanded', t => {
		const error = t.throws(() => {
			new RowCache().applyUpdate({era: 0, revision: 1, gzip: compressed});
		});
		t.is((error as NodeJS.ErrnoException).code, 'ERR_BUFFER_TOO_LARGE');
	});
});
