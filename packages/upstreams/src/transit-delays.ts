/** Measures how much longer an attempt was on its way than others of its sender, without a common clock. */
import {type SendStamp} from './send-stamp.js';

/** Length in milliseconds of the windows of which the last two count: short enough that two clocks drift apart by a few milliseconds at most. */
const windowMs = 60_000;

/** Maximum number of senders; beyond it all are forgotten, and measured anew. */
const maxSenders = 10_000;

/** The least offsets between the time at which attempts of one sender arrived here and the time at which they were sent by its clock. */
type Offsets = {
	windowStart: number;
	least: number;
	previousLeast: number;
};

/**
 * The offset between two clocks is not known, but it is the same for all attempts
 * of one sender: the least one that was seen belongs to an attempt without delay.
 * What another one is above it, it spent in queues, on links, or unread.
 */
export class TransitDelays {
	readonly #offsets = new Map<string, Offsets>();

	/**
	 * Measures the delay of an attempt in milliseconds; 0 for the first one of a sender.
	 *
	 * @param receivedAt Monotonic time in milliseconds at which this node read the attempt.
	 */
	measure({clockId, sentAt}: SendStamp, receivedAt: number): number {
		const offset = receivedAt - sentAt;
		let offsets = this.#offsets.get(clockId);
		if (offsets === undefined) {
			if (this.#offsets.size >= maxSenders) {
				this.#offsets.clear();
			}

			offsets = {windowStart: receivedAt, least: offset, previousLeast: offset};
			this.#offsets.set(clockId, offsets);
		} else if (receivedAt - offsets.windowStart > windowMs) {
			const isRecent = receivedAt - offsets.windowStart <= 2 * windowMs;
			offsets.previousLeast = isRecent ? offsets.least : offset;
			offsets.least = offset;
			offsets.windowStart = receivedAt;
		}

		offsets.least = Math.min(offsets.least, offset);
		return offset - Math.min(offsets.least, offsets.previousLeast);
	}
}
