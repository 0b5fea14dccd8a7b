/** The deployments of two user organisations, at their present sizes. */
import {type Vm} from './fleet.js';

/** VMs and rule file of a deployment. */
export type Deployment = {
	readonly name: string;
	readonly ruleFile: string;
	readonly vms: readonly Vm[];

	/** One-way latency between callers and nodes in milliseconds. */
	readonly callerLatency: number;
};

/** Number of a service's upstreams, and the time that each takes for a call in milliseconds. */
type ServiceSize = {
	readonly service: string;
	readonly upstreams: number;
	readonly serviceTime: number;
};

/** Deployment of the Association: 11 upstreams in three data centres. */
export const yieldAnnex: Deployment = {
	name: 'yield-annex',
	ruleFile: 'examples/yield-annex.rules',
	callerLatency: 3,
	vms: buildVms('sofia', ['sofia-a', 'sofia-b', 'sofia-c'], 9, [
		{service: 'lot-desk', upstreams: 5, serviceTime: 8},
		{service: 'quota-office', upstreams: 3, serviceTime: 12},
		{service: 'yield-register', upstreams: 3, serviceTime: 12},
	]),
};

/** Deployment of Mandazi Crown: 11 upstreams in three data centres. */
export const crownStock: Deployment = {
	name: 'crown-stock',
	ruleFile: 'examples/crown-stock.rules',
	callerLatency: 8,
	vms: buildVms('ke-central', ['nbo-west', 'nbo-east', 'thika-a'], 6, [
		{service: 'pantry-view', upstreams: 4, serviceTime: 8},
		{service: 'restock-desk', upstreams: 3, serviceTime: 12},
		{service: 'loss-ledger', upstreams: 4, serviceTime: 12},
	]),
};

function buildVms(region: string, dataCentres: readonly string[], slots: number, sizes: readonly ServiceSize[]): Vm[] {
	const all = sizes.flatMap(size => Array.from({length: size.upstreams}, (_, index) => ({size, index})));
	return all.map(({size, index}, position) => ({
		id: `${size.service}-${index + 1}`,
		dataCentre: dataCentres[position % dataCentres.length]!,
		region,
		service: size.service,
		slots,
		serviceTime: size.serviceTime,
	}));
}
