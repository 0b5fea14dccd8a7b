/** The two deployments of the users at their sizes of today. */
import {type Place} from './fleet.js';

/** A deployment with its rule file. */
export type Deployment = {
	readonly name: string;
	readonly ruleFile: string;
	readonly places: readonly Place[];

	/** One-way latency to clients in milliseconds. */
	readonly clientLatency: number;
};

type ServiceSize = {
	readonly service: string;
	readonly upstreams: number;
	readonly serviceTime: number;
};

/** The Association's deployment: 11 upstreams in three data centres. */
export const yieldAnnex: Deployment = {
	name: 'yield-annex',
	ruleFile: 'examples/yield-annex.rules',
	clientLatency: 3,
	places: buildPlaces('sofia', ['sofia-a', 'sofia-b', 'sofia-c'], 9, [
		{service: 'lot-desk', upstreams: 5, serviceTime: 8},
		{service: 'quota-office', upstreams: 3, serviceTime: 12},
		{service: 'yield-register', upstreams: 3, serviceTime: 12},
	]),
};

/** Mandazi Crown's deployment: 11 upstreams in three data centres. */
export const crownStock: Deployment = {
	name: 'crown-stock',
	ruleFile: 'examples/crown-stock.rules',
	clientLatency: 8,
	places: buildPlaces('ke-central', ['nbo-west', 'nbo-east', 'thika-a'], 6, [
		{service: 'pantry-view', upstreams: 4, serviceTime: 8},
		{service: 'restock-desk', upstreams: 3, serviceTime: 12},
		{service: 'loss-ledger', upstreams: 4, serviceTime: 12},
	]),
};

function buildPlaces(region: string, dataCentres: readonly string[], slots: number, sizes: readonly ServiceSize[]): Place[] {
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
