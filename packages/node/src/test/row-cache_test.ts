import {chooseInteger} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {HistoryLostError} from '@ebonylead/store/row-store.js';
import {RelayedRowStore} from '../relayed-row-store.js';
import {RowCache} from '../row-cache.js';

const table = 'members';
const seedCount = 200;
const stepCount = 40;
const keys = ['a', 'b', 'c', 'd'];
const {signal} = new AbortController();

function listValues(rows: ReadonlyArray<{readonly key: string; readonly value: string | undefined}>): string[] {
	return rows.map(row => `${row.key}=${row.value}`).toSorted();
}

/** Reads the changes of the store, or the whole table where its history or its era does not fit, as a follower of the table does. */
async function readStore(store: FakeRowStore, cache: RowCache): Promise<void> {
	if (cache.cursor !== undefined) {
		try {
			const controller = new AbortController();
			const waiting = store.waitForChanges(table, cache.cursor.revision, controller.signal);
			controller.abort();
			const page = await waiting;
			cache.apply(page, false);
			if (page.era === cache.cursor.era) {
				return;
			}
		} catch (error) {
			if (!(error instanceof HistoryLostError)) {
				throw error;
			}
		}
	}

	cache.apply(await store.readTable(table), true);
}

describe('rows that a node relays', () => {
	it('are those of the store at every receiver, whatever it missed', async t => {
		for (let seed = 0; seed < seedCount; seed++) {
			const random = new SeededRandom(seed);
			const store = new FakeRowStore();
			const reader = new RowCache();
			const receivers = [new RowCache(), new RowCache()];
			let copy = store.createCopy();
			for (let step = 0; step < stepCount; step++) {
				const choice = chooseInteger(random, 20);
				const receiver = receivers[chooseInteger(random, receivers.length)]!;
				if (choice < 8) {
					store.setValue(table, keys[chooseInteger(random, keys.length)]!, choice < 6 ? String(step) : undefined);
				} else if (choice < 12) {
					await readStore(store, reader);
				} else if (choice < 16) {
					const update = reader.encodeUpdate(receiver.cursor);
					if (update !== undefined) {
						receiver.applyUpdate(update);
					}
				} else {
					switch (choice) {
						case 16: {
							await readStore(store, receiver);

							break;
						}

						case 17: {
							store.removeHistory();

							break;
						}

						case 18: {
							copy = store.createCopy();

							break;
						}

						default: {
							store.restoreCopy(copy);
						}
					}
				}
			}

			await readStore(store, reader);
			const page = await store.readTable(table);
			const expected = listValues(page.rows);
			t.deepEqual(listValues(reader.listRows()), expected, `reader, seed ${seed}`);
			for (const receiver of receivers) {
				receiver.applyUpdate(reader.encodeUpdate(receiver.cursor)!);
				t.deepEqual(listValues(receiver.listRows()), expected, `receiver, seed ${seed}`);
			}
		}
	});

	it('cost nothing but a position while none changes', t => {
		const cache = new RowCache();
		cache.apply({rows: [{key: 'a', value: '1', revision: 3}], revision: 3, era: 0}, true);
		cache.apply({rows: [], revision: 9, era: 0}, false);
		t.deepEqual(cache.encodeUpdate({era: 0, revision: 3}), {era: 0, revision: 9});
		t.truthy(cache.encodeUpdate({era: 0, revision: 2})!.gzip);
	});
});

describe('store with relayed rows', () => {
	it('calls the store only while no other node sends the rows', async t => {
		const store = new FakeRowStore();
		const clock = new FakeClock();
		const cache = new RowCache();
		let isRelayed = true;
		const relayed = new RelayedRowStore({
			store, cache, clock, isRelayed: () => isRelayed,
		});
		store.setValue(table, 'a', '1');
		const first = await relayed.readTable(table);
		t.deepEqual(listValues(first.rows), ['a=1']);
		store.isDown = true;
		const waiting = relayed.waitForChanges(table, first.revision, signal);
		cache.applyUpdate({era: 0, revision: 7});
		cache.apply({rows: [{key: 'b', value: '2', revision: 8}], revision: 8, era: 0}, false);
		const page = await waiting;
		t.deepEqual(listValues(page.rows), ['b=2']);
		t.is(page.revision, 8);
		const whole = await relayed.readTable(table);
		t.deepEqual(listValues(whole.rows), ['a=1', 'b=2']);
		const idle = relayed.waitForChanges(table, 8, signal);
		await clock.advance(1000);
		const idlePage = await idle;
		t.deepEqual(idlePage.rows, []);
		isRelayed = false;
		await t.throwsAsync(relayed.readTable(table));
	});
});
