import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {RulesFleet, type FleetOptions} from './rules-fleet.js';

const stormSeconds = 10;
const versionIntervalMs = 500;

/** Within this time a version must be in force on every node. */
const maxDelayMs = 2000;

/** A tenth of the slowest link of a VM, 3.5 Mbit/s. */
const maxControlBytesPerSecond = 44_000;

/** A reader reads the row of 156 kB at most once a second. */
const maxStoreBytesPerSecond = 160_000;

const fleets: readonly FleetOptions[] = [
	{nodeCount: 70, dataCentreCount: 4, readerCount: 2},
	{nodeCount: 89, dataCentreCount: 3, readerCount: 2},
];

async function withFleet(options: FleetOptions, run: (fleet: RulesFleet) => Promise<void>): Promise<void> {
	const fleet = new RulesFleet(options);
	fleet.writeVersion();
	fleet.start();
	await fleet.clock.advance(5000);
	fleet.resetCounters();
	try {
		await run(fleet);
	} finally {
		await fleet.stop();
	}
}

for (const options of fleets) {
	describe(`spreading of versions over ${options.nodeCount} nodes in ${options.dataCentreCount} data centres`, () => {
		it('costs a node little more than the changes in a storm of versions, and is in time', async t => {
			await withFleet(options, async fleet => {
				for (let count = 0; count < stormSeconds * 1000 / versionIntervalMs; count++) {
					fleet.writeVersion();
					await fleet.clock.advance(versionIntervalMs);
				}

				const readers = new Set(fleet.listReaders());
				const followerBytes = fleet.nodes.filter(node => !readers.has(node)).map(({counters}) => (counters.storeBytes + counters.feedBytesIn + counters.feedBytesOut) / stormSeconds);
				const feedBytes = fleet.nodes.map(({counters}) => (counters.feedBytesIn + counters.feedBytesOut) / stormSeconds);
				const storeBytes = fleet.nodes.map(({counters}) => counters.storeBytes / stormSeconds);
				const storeCalls = fleet.nodes.reduce((sum, {counters}) => sum + counters.storeCalls, 0) / stormSeconds;
				await fleet.clock.advance(maxDelayMs);
				const delay = Math.max(...fleet.delays.filter(({version}) => version > 1).map(found => found.delay));
				t.log({
					readers: readers.size, follower: Math.max(...followerBytes), feeds: Math.max(...feedBytes), store: Math.max(...storeBytes), storeCalls, delay,
				});
				t.deepEqual(fleet.listBehind(), []);
				t.true(delay <= maxDelayMs);
				t.true(Math.max(...followerBytes) <= maxControlBytesPerSecond);
				t.true(Math.max(...feedBytes) <= maxControlBytesPerSecond);
				t.true(Math.max(...storeBytes) <= maxStoreBytesPerSecond);
				t.is(readers.size, options.readerCount * options.dataCentreCount);
				t.is(Math.max(...fleet.nodes.map(node => node.maxOpenFeedCount)), 1);
			});
		});
	});
}
