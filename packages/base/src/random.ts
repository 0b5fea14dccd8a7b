/** Random sources: that of the JavaScript engine, and a seeded one for reproducible runs. */
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {type Random} from './base.js';

/** The random source of the JavaScript engine. */
export class SystemRandom implements Random {
	next(): number {
		return Math.random();
	}
}

/** A random source that gives the same sequence for the same seed. */
export class SeededRandom implements Random {
	readonly #generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	next(): number {
		return (this.#generator.next() >>> 0) / 0x1_00_00_00_00;
	}
}
