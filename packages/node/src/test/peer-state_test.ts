import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {SystemClock} from '@ebonylead/base/base.js';
import {createLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {PeerStateFetcher, encodeState, type PeerStateFetcherDependencies} from '../peer-state.js';
import {RulesHistory} from '../rules-history.js';

const host = '127.0.0.1';
const waitTimeoutMs = 5000;
const peerVersion = 7;

function buildMember(id: string, meshPort: number): Member {
	return {
		id, incarnation: 1, dataCentre: 'a', region: 'r', host, peerPort: 1, meshPort, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 1, instance: 1,
	};
}

type FetcherFixture = {
	readonly fetcher: PeerStateFetcher;
	readonly origin: string;
	readonly getVersion: () => number;
	readonly getRequestCount: () => number;
};

/** Starts a node that has no version, as it was restarted; it knows only itself. */
async function startRestartedNode(address: string, port: number): Promise<Server> {
	const server = createServer((_request, response) => {
		response.end(encodeState(undefined, [{...buildMember('n2', port), host: address}]));
	});
	await new Promise<void>(resolve => {
		server.listen(port, address, resolve);
	});
	return server;
}

/** Runs a fetcher and a peer that has a later version. The fetcher knows the peer as a member, or a restarted node in its place. */
async function withFetcher(overrides: Partial<PeerStateFetcherDependencies>, run: (fixture: FetcherFixture) => Promise<void>, restartedHost?: string): Promise<void> {
	let version = restartedHost === undefined ? 1 : 0;
	let requestCount = 0;
	const history = new RulesHistory();
	const peerHistory = new RulesHistory();
	peerHistory.add({snapshot: {version: peerVersion, rules: []}, limits: undefined});
	const peer = createServer((_request, response) => {
		requestCount++;
		response.end(encodeState(peerHistory.encodeUpdate([]), []));
	});
	await new Promise<void>(resolve => {
		peer.listen(0, host, resolve);
	});
	const {port} = peer.address() as AddressInfo;
	const membership = new Membership();
	membership.merge([{...buildMember('n2', port), host: restartedHost ?? host}], 0);
	const restarted = restartedHost === undefined ? undefined : await startRestartedNode(restartedHost, port);
	const controller = new AbortController();
	const fetcher = new PeerStateFetcher({
		self: buildMember('n1', port),
		seedHosts: [],
		membership,
		clock: new SystemClock(),
		random: new SeededRandom(1),
		log: createLogger('silent'),
		isStoreUnavailable: () => false,
		getVersion: () => version,
		listVersions: () => [],
		onState(state) {
			version = state.update === undefined ? version : history.decodeUpdate(state.update).snapshot.version;
		},
		...overrides,
	});
	const running = fetcher.run(controller.signal);
	try {
		await run({
			fetcher, origin: `http://${host}:${port}`, getVersion: () => version, getRequestCount: () => requestCount,
		});
	} finally {
		controller.abort();
		await running;
		for (const server of [peer, restarted]) {
			server?.closeAllConnections();
			server?.close();
		}
	}
}

describe('peer state fetcher', () => {
	it('gives the store time to deliver a reported version before it asks a peer', async t => {
		let version = 1;
		await withFetcher({getVersion: () => version}, async ({fetcher, origin, getRequestCount}) => {
			fetcher.recordVersion(peerVersion, origin);
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
			version = peerVersion;
			await new Promise(resolve => {
				setTimeout(resolve, 500);
			});
			t.is(getRequestCount(), 0);
		});
	});

	it('fetches from a peer while the store is unavailable', async t => {
		await withFetcher({isStoreUnavailable: () => true}, async ({getVersion}) => {
			await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
			t.pass();
		});
	});

	it('fetches from the node whose call reported a later version, although the store is available', async t => {
		await withFetcher({}, async ({fetcher, origin, getVersion}) => {
			fetcher.recordVersion(peerVersion, origin);
			await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
			t.pass();
		});
	});

	it('fetches from another peer where that node does not respond', async t => {
		await withFetcher({}, async ({fetcher, getVersion}) => {
			fetcher.recordVersion(peerVersion, `http://${host}:1`);
			await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
			t.pass();
		});
	});

	it('fetches from another peer where that node no longer has the version, as it was restarted', async t => {
		const restarted = createServer((_request, response) => {
			response.end(encodeState(undefined, []));
		});
		await new Promise<void>(resolve => {
			restarted.listen(0, host, resolve);
		});
		try {
			await withFetcher({}, async ({fetcher, getVersion}) => {
				fetcher.recordVersion(peerVersion, `http://${host}:${(restarted.address() as AddressInfo).port}`);
				await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
				t.pass();
			});
		} finally {
			restarted.closeAllConnections();
			restarted.close();
		}
	});

	it('fetches from a seed where it knows no member and the store is unavailable', async t => {
		await withFetcher({isStoreUnavailable: () => true, membership: new Membership(), seedHosts: [host]}, async ({getVersion}) => {
			await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
			t.pass();
		});
	});

	it('fetches from a seed where the members that it knows have no version either, as they were restarted too', async t => {
		await withFetcher({isStoreUnavailable: () => true, seedHosts: [host]}, async ({getVersion}) => {
			await waitUntil(() => getVersion() === peerVersion, 'the fetcher', waitTimeoutMs);
			t.pass();
		}, '127.0.0.2');
	});

	it('sends no request while there is nothing to fetch', async t => {
		await withFetcher({}, async ({fetcher, origin, getRequestCount}) => {
			fetcher.recordVersion(1, origin);
			await new Promise(resolve => {
				setTimeout(resolve, 600);
			});
			t.is(getRequestCount(), 0);
		});
	});
});
