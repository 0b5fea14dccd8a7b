/** The speed of one emulated upstream, as it varies with the time and with the runs in progress. */
import {SeededRandom} from '@ebonylead/base/random.js';
import {type EmulatedService} from './emulated-load.js';

/** Computes the speed of an upstream by its index in the service. */
export class EmulatedSpeed {
	readonly #service: EmulatedService;
	readonly #index: number;
	readonly #random: SeededRandom;

	/** Whether the upstream is slow in each period of the length of a spell, as far as it is drawn. */
	readonly #spells: boolean[] = [];

	constructor(service: EmulatedService, index: number, seed: number) {
		this.#service = service;
		this.#index = index;
		this.#random = new SeededRandom(seed);
	}

	/** Computes the speed at a time in milliseconds while a number of calls run. */
	compute(time: number, running: number): number {
		const {speeds, slots, slowdowns = [], contentionFrom} = this.#service;
		let speed = speeds[this.#index]!;
		for (const {upstreams, from, to, factor} of slowdowns) {
			speed /= time >= from && time < to && (upstreams === undefined || upstreams.includes(this.#index)) ? factor : 1;
		}

		return speed / this.#computeSpellFactor(time) / Math.max(1, running / ((contentionFrom ?? Number.POSITIVE_INFINITY) * slots));
	}

	#computeSpellFactor(time: number): number {
		const {spells} = this.#service;
		if (spells === undefined) {
			return 1;
		}

		const period = Math.floor(time / spells.length);
		while (this.#spells.length <= period) {
			this.#spells.push(this.#random.next() < spells.share);
		}

		return this.#spells[period]! ? spells.factor : 1;
	}
}
