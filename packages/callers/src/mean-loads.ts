/** Mean loads of upstreams, for those whose own load was not reported lately. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';

/** Keeps mean loads in calls per slot; each implementation has groups of its own. */
export type MeanLoads = {
	/** Records a load that an upstream reported. */
	record(member: Member, load: number): void;

	/** Returns the mean load of the upstream's group; 0 if no load was reported. */
	get(member: Member): number;
};

/** Weight of a reported load in the mean load of its service. */
const serviceWeight = 0.1;

/** Weight of a reported load in the mean load of its service in its data centre: few calls leave a data centre, so that each report from another one counts. */
const dataCentreWeight = 0.2;

/** Load in calls per slot that is assumed of a data centre from which no load was reported: below the one from which calls leave their own, so that some find out. */
const assumedLoad = 0.6;

/** Half-life in milliseconds with which the mean of a data centre approaches that load. */
const meanHalfLifeMs = 2000;

/** Moving average over each service. */
export class ServiceMeanLoads implements MeanLoads {
	readonly #means = new Map<string, number>();

	record({service}: Member, load: number): void {
		const mean = this.#means.get(service) ?? load;
		this.#means.set(service, mean + ((load - mean) * serviceWeight));
	}

	get({service}: Member): number {
		return this.#means.get(service) ?? 0;
	}
}

/** Moving average over each service in each data centre: demand differs between data centres, and the mean over all hides where there is capacity. */
export class DataCentreMeanLoads implements MeanLoads {
	readonly #clock: Clock;
	/** By service and data centre; a joined key would be built for each candidate of each choice. */
	readonly #means = new Map<string, Map<string, {load: number; reportedAt: number}>>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	record(member: Member, load: number): void {
		const mean = this.get(member);
		const means = this.#means.get(member.service) ?? new Map<string, {load: number; reportedAt: number}>();
		means.set(member.dataCentre, {load: mean + ((load - mean) * dataCentreWeight), reportedAt: this.#clock.now()});
		this.#means.set(member.service, means);
	}

	get({service, dataCentre}: Member): number {
		const mean = this.#means.get(service)?.get(dataCentre);
		return mean === undefined ? assumedLoad : assumedLoad + ((mean.load - assumedLoad) * (0.5 ** ((this.#clock.now() - mean.reportedAt) / meanHalfLifeMs)));
	}
}
