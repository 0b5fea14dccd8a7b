import {createLogger} from '@ebonylead/base/logs.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {FakeRowStore} from '@ebonylead/stand-ins/fake-row-store.js';
import {TableFollower} from '../table-follower.js';

describe('table follower', () => {
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
