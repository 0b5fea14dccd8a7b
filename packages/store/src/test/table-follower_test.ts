import {createLogger} from '@ebonylead/base/logs.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {type RowPage} from '../row-store.js';
import {TableFollower} from '../table-follower.js';

type ReadRows = {readonly keys: string[]; readonly isComplete: boolean; readonly era: number};

/** Follows a table with virtual time, and collects what is read. */
async function withFollower(store: FakeRowStore, run: (clock: FakeClock, reads: ReadRows[]) => Promise<void>): Promise<void> {
	const clock = new FakeClock();
	const reads: ReadRows[] = [];
	const controller = new AbortController();
	const follower = new TableFollower({
		store, table: 't', clock, log: createLogger('silent'), onRows(rows, isComplete, era) {
			reads.push({keys: rows.map(row => row.key), isComplete, era});
		},
	});
	const running = follower.run(controller.signal);
	try {
		await clock.advance(1);
		await run(clock, reads);
	} finally {
		controller.abort();
		await clock.advance(10_000);
		await running;
	}
}

/** Store that answers feed requests with prepared pages. */
class PreparedFeedStore extends FakeRowStore {
	readonly pages: RowPage[] = [];

	override async waitForChanges(table: string, after: number, signal: AbortSignal): Promise<RowPage> {
		return this.pages.shift() ?? super.waitForChanges(table, after, signal);
	}
}

describe('table follower', () => {
	describe('of a store that is restored from a copy', () => {
		it('reads the table anew although the revisions of the copy were given out again', async t => {
			const store = new FakeRowStore();
			store.setValue('t', 'a', '1');
			const copy = store.createCopy();
			await withFollower(store, async (clock, reads) => {
				store.setValue('t', 'b', '1');
				await clock.advance(1);
				store.isDown = true;
				store.restoreCopy(copy);
				await clock.advance(100);
				store.setValue('t', 'c', '1');
				store.setValue('t', 'd', '1');
				store.isDown = false;
				await clock.advance(1000);
				t.deepEqual(reads.at(-1), {keys: ['a', 'c', 'd'], isComplete: true, era: 1});
				store.setValue('t', 'e', '1');
				await clock.advance(1);
				t.deepEqual(reads.at(-1), {keys: ['e'], isComplete: false, era: 1});
			});
		});

		it('reads the table anew where the store does not have the revision that it knows', async t => {
			const store = new FakeRowStore();
			const copy = store.createCopy();
			await withFollower(store, async (clock, reads) => {
				store.setValue('t', 'a', '1');
				await clock.advance(1);
				store.restoreCopy(copy);
				await clock.advance(1000);
				t.deepEqual(reads.at(-1), {keys: [], isComplete: true, era: 1});
				store.setValue('t', 'b', '1');
				await clock.advance(1);
				t.deepEqual(reads.at(-1), {keys: ['b'], isComplete: false, era: 1});
			});
		});

		it('reads the table anew after each of two restores in a row', async t => {
			const store = new FakeRowStore();
			const copy = store.createCopy();
			await withFollower(store, async (clock, reads) => {
				for (const era of [1, 2]) {
					store.setValue('t', 'a', '1');
					await clock.advance(1);
					store.restoreCopy(copy);
					store.setValue('t', `b${era}`, '1');
					await clock.advance(1000);
					t.deepEqual(reads.at(-1), {keys: [`b${era}`], isComplete: true, era});
				}
			});
		});

		it('ignores a late response of the earlier era', async t => {
			const store = new PreparedFeedStore();
			await withFollower(store, async (clock, reads) => {
				store.restoreCopy(store.createCopy());
				store.setValue('t', 'a', '1');
				await clock.advance(1000);
				store.pages.push({rows: [{key: 'old', value: '1', revision: 99}], revision: 99, era: 0});
				store.setValue('t', 'b', '1');
				await clock.advance(1);
				store.setValue('t', 'c', '1');
				await clock.advance(1000);
				t.false(reads.some(read => read.keys.includes('old')));
				t.deepEqual(reads.at(-1), {keys: ['c'], isComplete: false, era: 1});
			});
		});
	});

	it('reads successive changes at most once per interval, and loses none', async t => {
		const clock = new FakeClock();
		const store = new FakeRowStore();
		const received: string[][] = [];
		const controller = new AbortController();
		const follower = new TableFollower({
			store,
			table: 't',
			clock,
			log: createLogger('silent'),
			getMinInterval: () => 500,
			onRows(rows) {
				received.push(rows.map(row => row.key));
			},
		});
		const running = follower.run(controller.signal);
		await clock.advance(1);
		for (const key of ['a', 'b', 'c']) {
			store.setValue('t', key, '1');
			await clock.advance(10);
		}

		t.deepEqual(received, [[], ['a']]);
		await clock.advance(500);
		t.deepEqual(received, [[], ['a'], ['b', 'c']]);
		await clock.advance(1000);
		store.setValue('t', 'd', '1');
		await clock.advance(1);
		t.deepEqual(received.at(-1), ['d']);
		controller.abort();
		store.setValue('t', 'e', '1');
		await clock.advance(1000);
		await running;
	});
});

describe('table follower of a table that must be heard regularly', () => {
	const maxWait = 500;

	/** Store whose responses to waiting requests never come while its feeds are silent. */
	class SilentFeedStore extends FakeRowStore {
		readCount = 0;

		override async readTable(table: string): Promise<RowPage> {
			this.readCount++;
			return super.readTable(table);
		}

		override async waitForChanges(table: string, after: number, signal: AbortSignal): Promise<RowPage> {
			if (!this.areFeedsSilent) {
				return super.waitForChanges(table, after, signal);
			}

			return new Promise((_resolve, reject) => {
				signal.addEventListener('abort', () => {
					reject(new Error('aborted'));
				});
			});
		}
	}

	it('reads the table while the responses to waiting requests do not come', async t => {
		const store = new SilentFeedStore();
		store.setValue('t', 'a', '1');
		const clock = new FakeClock();
		const keys: string[][] = [];
		const controller = new AbortController();
		const follower = new TableFollower({
			store, table: 't', clock, log: createLogger('silent'), maxWait, onRows(rows) {
				keys.push(rows.map(row => row.key));
			},
		});
		const running = follower.run(controller.signal);
		await clock.advance(1);
		store.areFeedsSilent = true;
		store.setValue('t', 'b', '1');
		for (let elapsed = 0; elapsed < 1000; elapsed += 100) {
			await clock.advance(100);
		}

		t.deepEqual(keys.at(-1), ['a', 'b']);
		t.true(clock.now() - follower.lastResponseAt < maxWait + 400);
		t.true(store.readCount <= 4, String(store.readCount));
		controller.abort();
		await clock.advance(10_000);
		await running;
	});

	it('tries again at once when a waiting request fails', async t => {
		const store = new SilentFeedStore();
		store.setValue('t', 'a', '1');
		const clock = new FakeClock();
		const controller = new AbortController();
		const follower = new TableFollower({
			store, table: 't', clock, log: createLogger('silent'), maxWait, onRows: () => undefined,
		});
		const running = follower.run(controller.signal);
		await clock.advance(1);
		store.isDown = true;
		store.setValue('t', 'b', '1');
		await clock.advance(1);
		t.true(follower.isUnavailable);
		store.isDown = false;
		await clock.advance(200);
		t.false(follower.isUnavailable);
		controller.abort();
		await clock.advance(10_000);
		await running;
	});
});
