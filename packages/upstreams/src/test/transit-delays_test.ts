import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {type Clock} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {SendClock, parseSendStamp} from '../send-stamp.js';
import {TransitDelays} from '../transit-delays.js';

const offsetMs = 1_000_000;

/** A clock whose monotonic time stands still while it is suspended. */
class SuspendableClock implements Clock {
	monotonic = 0;
	wall = 0;

	now(): number {
		return this.monotonic;
	}

	wallTime(): number {
		return this.wall;
	}

	advance(duration: number): void {
		this.monotonic += duration;
		this.wall += duration;
	}

	async sleep(): Promise<void> {
		throw new Error('nothing waits on this clock');
	}
}

describe('transit delays', () => {
	it('are what an attempt took longer than the fastest one of its sender', t => {
		const delays = new TransitDelays();
		t.is(delays.measure({clockId: 'a', sentAt: 0}, offsetMs + 30), 0);
		t.is(delays.measure({clockId: 'a', sentAt: 100}, offsetMs + 101), 0);
		t.is(delays.measure({clockId: 'a', sentAt: 200}, offsetMs + 201 + 1500), 1500);
		t.is(delays.measure({clockId: 'b', sentAt: 200}, offsetMs + 201 + 1500), 0);
	});

	it('follow clocks that drift apart', t => {
		const delays = new TransitDelays();
		const driftPerMs = 50e-6;
		let longest = 0;
		for (let now = 0; now < 86_400_000; now += 10_000) {
			longest = Math.max(longest, delays.measure({clockId: 'a', sentAt: now}, now * (1 + driftPerMs)));
		}

		t.true(longest < 10, String(longest));
	});

	it('count nothing after a sender was suspended, as its clock has another identity then', t => {
		const clock = new SuspendableClock();
		const sender = new SendClock(clock, new SeededRandom(1));
		const delays = new TransitDelays();
		const receive = () => delays.measure(parseSendStamp(sender.createStamp())!, clock.wall);
		t.is(receive(), 0);
		clock.advance(1000);
		t.is(receive(), 0);
		clock.wall += 5000;
		t.is(receive(), 0);
	});

	it('are not measured from malformed stamps', t => {
		for (const text of [undefined, '', ';', 'a', 'a;', ';1', 'a;x', 'a;Infinity', `${'a'.repeat(100)};1`]) {
			t.is(parseSendStamp(text), undefined, text);
		}
	});
});
