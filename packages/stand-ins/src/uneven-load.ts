/** A load on three services in three data centres whose upstreams differ in speed, for the load emulator. */
import {type LoadBalancing} from '@ebonylead/capacity/capacity.js';
import {type CallClass, type EmulatedLoad, type EmulatedService} from './emulated-load.js';

/** What varies between the cases. */
export type UnevenLoadOptions = {
	readonly loadBalancing: LoadBalancing;

	/** Factor of the demand; at 1 the slots are busy for three quarters of the time on average, and full at the peaks of the waves. */
	readonly scale: number;
	readonly duration?: number;
	readonly isLimitLearnt?: boolean;

	/** Changes the services. */
	readonly changeService?: (service: EmulatedService) => EmulatedService;

	/** Changes the classes of calls. */
	readonly changeClass?: (callClass: CallClass) => CallClass;
};

const dataCentres = ['a', 'b', 'c'];
const slots = 13;
const spells = {share: 0.15, factor: 2.5, length: 600};
const defaultDurationMs = 30_000;

const services: readonly EmulatedService[] = [
	{
		name: 'rota', slots, speeds: buildList(30, index => 0.55 + (0.65 * index / 29)), dataCentres: buildList(30, index => dataCentres[index % 3]!), spells,
	},
	{
		name: 'signup', slots, speeds: buildList(24, index => [0.7, 0.7, 1.6][index % 3]!), dataCentres: buildList(24, index => dataCentres[Math.floor(index / 8)]!), spells,
	},
	{
		name: 'swap', slots, speeds: buildList(9, index => [0.6, 1, 1.4][index % 3]!), dataCentres: buildList(9, index => dataCentres[Math.floor(index / 3)]!),
	},
];

const base = {
	rank: 1, deadline: 2500, returns: 2, calls: [],
};

/** Objectives: pages have several times their work, lookups less than twice. */
const classes: readonly CallClass[] = [
	{
		...base, name: 'rota-page', service: 'rota', rate: 260, work: 585, objective: 1800, calls: ['signup-check'],
	},
	{
		...base, name: 'rota-lookup', service: 'rota', rate: 260, work: 220, objective: 400, deadline: 1000,
	},
	{
		...base, name: 'signup-page', service: 'signup', rate: 225, work: 655, objective: 2000, calls: ['rota-check'],
	},
	{
		...base, name: 'signup-lookup', service: 'signup', rate: 170, work: 262, objective: 450, deadline: 1000,
	},
	{
		...base, name: 'swap-page', service: 'swap', rate: 125, work: 510, objective: 1600, calls: ['signup-check'],
	},
	{
		...base, name: 'swap-lookup', service: 'swap', rate: 100, work: 234, objective: 420, deadline: 1000,
	},
	{
		...base, name: 'signup-check', service: 'signup', rate: 0, work: 88, objective: 180, deadline: 600, returns: 0,
	},
	{
		...base, name: 'rota-check', service: 'rota', rate: 0, work: 88, objective: 180, deadline: 600, returns: 0,
	},
];

/** Builds the load of one case. */
export function buildUnevenLoad({
	loadBalancing, scale, duration = defaultDurationMs, isLimitLearnt = false, changeService = service => service, changeClass = callClass => callClass,
}: UnevenLoadOptions): EmulatedLoad {
	return {
		services: services.map(service => changeService(service)),
		classes: classes.map(callClass => changeClass({...callClass, rate: callClass.rate * scale})),
		duration,
		isEntryAtEachVm: true,
		wave: {amplitude: 0.55, period: 15_000},
		dataCentreLatency: 1.4,
		loadBalancing,
		isLimitLearnt,
	};
}

function buildList<Value>(length: number, build: (index: number) => Value): readonly Value[] {
	return Array.from({length}, (_, index) => build(index));
}
