/** The time at which a node sent an attempt, by a clock that only this node has. */
import {type Clock, type Random} from '@ebonylead/base/base.js';

/** When an attempt was sent. */
export type SendStamp = {
	/** Identity of the clock. Only times of the same clock are compared. */
	readonly clockId: string;

	/** Monotonic time of that clock in milliseconds. */
	readonly sentAt: number;
};

/** Change in milliseconds between the time of day and the monotonic time from which on the monotonic clock may have stood still. */
const maxGapChangeMs = 200;
const separator = ';';
const radix = 36;
const idLength = 8;
const maxStampLength = 64;

/**
 * Stamps attempts. A monotonic clock stands still while its VM is suspended, so
 * that times before and after can't be compared: the clock gets another identity
 * then. A change of the time of day looks the same, and does no harm.
 */
export class SendClock {
	readonly #clock: Clock;
	readonly #random: Random;
	#id = '';
	#gap: number;

	constructor(clock: Clock, random: Random) {
		this.#clock = clock;
		this.#random = random;
		this.#gap = this.#computeGap();
		this.renew();
	}

	/** Creates the stamp of an attempt that is sent now. */
	createStamp(): string {
		const gap = this.#computeGap();
		if (Math.abs(gap - this.#gap) > maxGapChangeMs) {
			this.renew();
		}

		this.#gap = gap;
		return `${this.#id}${separator}${Math.round(this.#clock.now())}`;
	}

	/** Gives the clock another identity, as its times proved not to be comparable with earlier ones. */
	renew(): void {
		this.#id = this.#random.next().toString(radix).slice(2, 2 + idLength);
	}

	#computeGap(): number {
		return this.#clock.wallTime() - this.#clock.now();
	}
}

/** Parses a stamp; undefined if there is none, or it is malformed. */
export function parseSendStamp(text: string | undefined): SendStamp | undefined {
	if (text === undefined || text.length > maxStampLength) {
		return undefined;
	}

	const [clockId, time] = text.split(separator);
	const sentAt = Number(time);
	return !clockId || !time || !Number.isFinite(sentAt) ? undefined : {clockId, sentAt};
}
