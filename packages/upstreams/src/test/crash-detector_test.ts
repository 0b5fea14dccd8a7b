import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {createLogger} from '@ebonylead/base/logs.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {CrashDetector, type InFlightCall} from '../crash-detector.js';
import {LocalUpstream} from '../local-upstream.js';
import {Quarantine} from '../quarantine.js';

const log = createLogger('silent');
const withinWindowMs = 2900;
const afterWindowMs = 3100;

type DetectorFixture = {
	readonly clock: FakeClock;
	readonly localUpstream: LocalUpstream;

	/** Announces the process of the upstream that started at a time. */
	readonly announce: (startedAt: number, state?: 'ready' | 'draining') => void;

	/** Starts a call to the present process. */
	readonly addCall: (fingerprint: string) => InFlightCall;
	readonly loseConnection: (call: InFlightCall) => Promise<boolean>;
	readonly countCrashes: (fingerprint: string) => number;

	/** Makes the port refuse connections. */
	readonly closePort: () => Promise<void>;
};

/** Runs a test on the crash detector of an upstream whose port takes connections. */
async function withDetector(run: (fixture: DetectorFixture) => Promise<void>): Promise<void> {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
	const clock = new FakeClock();
	const localUpstream = new LocalUpstream(clock, log);
	const quarantine = new Quarantine(clock);
	const detector = new CrashDetector(localUpstream, quarantine, clock, log);
	const announce: DetectorFixture['announce'] = (startedAt, state = 'ready') => {
		localUpstream.applyAnnouncement({
			url, service: 's', slots: 4, connections: 10, state, instance: 'i', startedAt,
		});
	};

	announce(1);
	try {
		await run({
			clock,
			localUpstream,
			announce,
			addCall(fingerprint) {
				const call: InFlightCall = {generation: 1, incarnation: localUpstream.incarnation, computeFingerprint: () => fingerprint};
				detector.add(call);
				return call;
			},
			loseConnection: async call => detector.handleLostConnection(call),
			countCrashes: fingerprint => quarantine.countCrashes(fingerprint),
			async closePort() {
				server.close();
				await once(server, 'close');
			},
		});
	} finally {
		await localUpstream.close();
		server.close();
	}
}

describe('crash detector', () => {
	it('takes the loss of a connection for a crash where the port refuses new ones', async t => {
		await withDetector(async ({addCall, loseConnection, countCrashes, closePort}) => {
			const call = addCall('x');
			await closePort();
			t.true(await loseConnection(call));
			t.is(countCrashes('x'), 1);
		});
	});

	describe('when the port takes new connections', () => {
		it('takes the loss for a crash once another process is announced', async t => {
			await withDetector(async ({addCall, loseConnection, countCrashes, announce, clock}) => {
				t.false(await loseConnection(addCall('x')));
				t.is(countCrashes('x'), 0);
				await clock.advance(withinWindowMs);
				announce(2);
				t.is(countCrashes('x'), 1);
			});
		});

		it('takes the losses of several calls for one crash', async t => {
			await withDetector(async ({addCall, loseConnection, countCrashes, announce}) => {
				await loseConnection(addCall('x'));
				await loseConnection(addCall('y'));
				announce(2);
				t.is(countCrashes('x'), 1);
				t.is(countCrashes('y'), 1);
			});
		});

		it('takes the loss for a crash if another process was announced before it was noticed', async t => {
			await withDetector(async ({addCall, loseConnection, countCrashes, announce}) => {
				const call = addCall('x');
				announce(2);
				addCall('y');
				t.true(await loseConnection(call));
				t.is(countCrashes('x'), 1);
				t.is(countCrashes('y'), 0);
			});
		});

		it('charges no call of an upstream that resets connections as it is full, while its process stays', async t => {
			await withDetector(async ({addCall, loseConnection, countCrashes, announce, clock}) => {
				for (let count = 0; count < 5; count++) {
					t.false(await loseConnection(addCall('x')));
					await clock.advance(100);
					announce(1);
				}

				t.is(countCrashes('x'), 0);
			});
		});

		it('charges no call if the process ends long after the loss, or was leaving', async t => {
			await withDetector(async ({addCall, loseConnection, countCrashes, announce, clock}) => {
				await loseConnection(addCall('x'));
				await clock.advance(afterWindowMs);
				announce(2);
				const call = addCall('x');
				announce(2, 'draining');
				await loseConnection(call);
				announce(3);
				t.is(countCrashes('x'), 0);
			});
		});
	});
});
