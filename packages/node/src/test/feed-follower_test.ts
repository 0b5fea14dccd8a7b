import {Buffer} from 'node:buffer';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {waitUntil} from '@ebonylead/stand-ins/wait-until.js';
import {FeedFollower} from '../feed-follower.js';
import {type FeedTransport} from '../feed-transport.js';
import {RowCache} from '../row-cache.js';
import {RulesHistory} from '../rules-history.js';

const maxReadBytes = 64 * 1024 * 1024;

describe('a feed of another node', () => {
	it('ends if a line does not, before it takes much memory', async t => {
		let sentBytes = 0;
		let isClosed = false;
		const block = Buffer.alloc(1024 * 1024, 'x');
		const transport: FeedTransport = {
			async open() {
				return (async function * () {
					try {
						while (sentBytes < maxReadBytes) {
							sentBytes += block.length;
							yield block;
						}
					} finally {
						isClosed = true;
					}
				})();
			},
			close: async () => undefined,
		};
		const reasons: string[] = [];
		const follower = new FeedFollower({
			id: 'n',
			transport,
			history: new RulesHistory(),
			rows: new RowCache(),
			clock: new FakeClock(),
			onRules: () => undefined,
			onLine: () => undefined,
			onEnd(_origin, reason) {
				reasons.push(reason);
			},
		});
		follower.start('http://127.0.0.1:1');
		await waitUntil(() => reasons.length > 0, 'end the feed');
		t.regex(reasons[0]!, /a line of more than/v);
		t.true(isClosed);
		t.true(sentBytes < maxReadBytes / 2);
	});
});
