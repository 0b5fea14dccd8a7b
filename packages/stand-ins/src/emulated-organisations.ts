/** Organisations of an emulated load: who sends each call, and what became of the calls of each. */
import {type Random} from '@ebonylead/base/base.js';

/** An organisation that sends a part of the callers' calls. */
export type EmulatedOrganisation = {
	readonly name: string;

	/** Its part of the calls, in proportion to those of the others. */
	readonly demand: number;

	/** Weight of its share of the slots. */
	readonly weight: number;
};

/** Counts of the calls of an organisation. */
export type OrganisationResult = {started: number; inTime: number; late: number};

/** Draws an organisation for each call. */
export class EmulatedOrganisations {
	readonly results = new Map<string, OrganisationResult>();
	readonly #organisations: readonly EmulatedOrganisation[];
	readonly #total: number;
	readonly #weights: ReadonlyMap<string, number>;

	constructor(organisations: readonly EmulatedOrganisation[]) {
		this.#organisations = organisations;
		this.#total = organisations.reduce((sum, {demand}) => sum + demand, 0);
		this.#weights = new Map(organisations.map(({name, weight}) => [name, weight]));
		for (const {name} of organisations) {
			this.results.set(name, {started: 0, inTime: 0, late: 0});
		}
	}

	/** Chooses the organisation that sends a call, and counts the call. */
	choose(random: Random): string {
		let rest = random.next() * this.#total;
		const chosen = this.#organisations.find(({demand}) => {
			rest -= demand;
			return rest < 0;
		}) ?? this.#organisations[0]!;
		this.results.get(chosen.name)!.started++;
		return chosen.name;
	}

	/** Returns the weight of an organisation. */
	getWeight(name: string): number {
		return this.#weights.get(name) ?? 1;
	}

	/** Records that a call was served. */
	recordServed(name: string, isInTime: boolean): void {
		this.results.get(name)![isInTime ? 'inTime' : 'late']++;
	}
}
