import {createLogger} from '@ebonylead/base/logs.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock, runPendingTasks} from '@ebonylead/stand-ins/fake-clock.js';
import {type FeedTransport} from '../feed-transport.js';
import {ReaderRanking} from '../reader-ranking.js';
import {RowCache} from '../row-cache.js';
import {RulesHistory} from '../rules-history.js';
import {RulesSync} from '../rules-sync.js';

const freshForMs = 1200;
const stallMs = 1500;
const lineIntervalMs = 300;

function buildMember(id: string): Member {
	return {
		id, incarnation: 1, dataCentre: 'a', region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 1, instance: 1,
	};
}

/** Transport whose feeds deliver a line when told to. */
class PreparedTransport implements FeedTransport {
	openCount = 0;
	endCount = 0;
	readonly #lines: string[] = [];
	#wake: (() => void) | undefined;

	send(): void {
		this.#lines.push(`${JSON.stringify({version: 1, freshFor: freshForMs, reader: 'other'})}\n`);
		this.#wake?.();
	}

	async open(_origin: string, _position: unknown, signal: AbortSignal): Promise<AsyncIterable<Uint8Array>> {
		this.openCount++;
		signal.addEventListener('abort', () => {
			this.endCount++;
			this.#wake?.();
		});
		return this.#read(signal);
	}

	async close(): Promise<void> {
		await Promise.resolve();
	}

	async * #read(signal: AbortSignal): AsyncGenerator<Uint8Array> {
		while (!signal.aborted) {
			const line = this.#lines.shift();
			if (line === undefined) {
				await new Promise<void>(resolve => {
					this.#wake = resolve;
				});
			} else {
				yield new TextEncoder().encode(line);
			}
		}
	}
}

/** Runs a node that ranks after the only other one, and for which the store does not answer. */
async function withSync(run: (clock: FakeClock, transport: PreparedTransport) => Promise<void>): Promise<void> {
	const clock = new FakeClock();
	const transport = new PreparedTransport();
	const random = new SeededRandom(1);
	const membership = new Membership();
	membership.merge([buildMember('n1'), buildMember('n2')], 0);
	const rankings = ['n1', 'n2'].map(id => ({
		id, ranking: new ReaderRanking({
			id, dataCentre: 'a', membership, clock, random, readerCount: 1,
		}),
	}));
	const history = new RulesHistory();
	history.add({snapshot: {version: 1, rules: []}, limits: undefined});
	const controller = new AbortController();
	const sync = new RulesSync({
		...rankings.find(({ranking}) => !ranking.isReader)!,
		source: {
			isUnavailable: true, freshUntil: Number.NEGATIVE_INFINITY, async run() {
				await Promise.resolve();
			},
		},
		transport,
		history,
		rows: new RowCache(),
		clock,
		random,
		log: createLogger('silent'),
		onRules: () => undefined,
	});
	const running = sync.run(controller.signal);
	try {
		await run(clock, transport);
	} finally {
		controller.abort();
		await clock.advance(1000);
		await running;
	}
}

describe('following of a reader', () => {
	it('goes on after a stall of this process, as the lines of meanwhile wait to be read', async t => {
		await withSync(async (clock, transport) => {
			for (let count = 0; count < 3; count++) {
				transport.send();
				await clock.advance(lineIntervalMs);
			}

			t.is(transport.openCount, 1);
			clock.jump(stallMs);
			await clock.advance(1);
			transport.send();
			await runPendingTasks();
			await clock.advance(lineIntervalMs);
			t.is(transport.endCount, 0);
		});
	});

	it('ends where the reader sends no fresh confirmation although this process did not stall', async t => {
		await withSync(async (clock, transport) => {
			transport.send();
			await clock.advance(lineIntervalMs);
			t.is(transport.openCount, 1);
			await clock.advance(freshForMs + lineIntervalMs);
			t.is(transport.endCount, 1);
		});
	});
});
