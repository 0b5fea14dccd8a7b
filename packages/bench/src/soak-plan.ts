/** Plans the disturbances of a soak from a seed. */
import {chooseInteger, type Random} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';

/** Work that operators plan. It must not end a request that is in progress. */
const plannedKinds = ['restart', 'reload', 'configuration', 'storm', 'replacement'] as const;

/** What upstreams ask for in their responses. It must not end a request either. */
const upstreamKinds = ['limit', 'leave-by-response'] as const;

/** Faults of processes. They may end requests. */
const processFaults = ['kill', 'pause'] as const;

/** Faults that go with load: a request that crashes upstreams, and a node that gets little processor time. They may end requests. */
const loadFaults = ['crashing-request', 'slow-node'] as const;

/** Losses of power, after which an upstream starts again under its identity and leaves at once, and silences of all upstreams of a service. They may end requests. */
const serviceFaults = ['power-loss', 'service-silent'] as const;

/** Faults in the responses of upstreams: refusals, late second copies (whole or broken off), own statuses that promise that nothing ran, losses, and statuses that HTTP does not have. Each may end the request that it hits, and no other. */
export const responseFaultKinds = ['upstreams-refuse', 'late-copies', 'broken-copies', 'own-refusals', 'lost-responses', 'invalid-statuses'] as const;

/** One of `responseFaultKinds`. */
export type ResponseFaultKind = typeof responseFaultKinds[number];

/** How upstreams end without having said before that they drain. It must not end a request. */
const endKinds = ['deregister-first'] as const;

/** What callers do. It must not end requests of others. */
const callerKinds = ['impatient-clients'] as const;

/** Faults of the store and of the way to it. They excuse late configurations, but no lost request. */
const storeFaults = [
	'store-down', 'store-slow', 'store-loses-responses', 'store-applies-late', 'store-forgets-history', 'store-restored', 'store-refuses-some', 'store-resets-some', 'store-silent-for-some',
] as const;

/** Kind of a disturbance. */
export type SoakEventKind
	= | ResponseFaultKind
		| typeof endKinds[number]
		| typeof plannedKinds[number]
		| typeof upstreamKinds[number]
		| typeof processFaults[number]
		| typeof loadFaults[number]
		| typeof serviceFaults[number]
		| typeof callerKinds[number]
		| typeof storeFaults[number];

/** A disturbance. */
export type SoakEvent = {
	/** Time since the start of the soak in milliseconds. */
	readonly at: number;
	readonly kind: SoakEventKind;

	/** Index of the VM that it affects, if it affects one. */
	readonly vm: number;

	/** Duration in milliseconds, if it lasts. */
	readonly duration: number;
};

/** Options of a plan. */
export type SoakPlanOptions = {
	readonly seed: number;
	readonly duration: number;
	readonly vmCount: number;

	/** Whether faults are planned besides planned work. */
	readonly hasFaults: boolean;
};

/** Number of first values of the random source that are skipped, as those of near seeds are alike. */
const skippedValues = 32;

/** Time at the end without a disturbance, in which everything must recover. */
const quietEndMs = 9000;

/** Bounds of the time between two episodes. Some are shorter than a restart takes, so that episodes overlap. */
const minEpisodeGapMs = 100;
const maxEpisodeGapMs = 2500;

/** Bounds of the time between two restarts of a series. */
const minSeriesGapMs = 50;
const maxSeriesGapMs = 1500;
const minFaultMs = 200;
const maxFaultMs = 3000;

/** Bounds of the time between two events of upstreams, and of the duration of a limit: longer than the window in which requests are counted. */
const minUpstreamGapMs = 1000;
const maxUpstreamGapMs = 6000;
const minLimitMs = 5000;
const maxLimitMs = 9000;

/** Offset of the seed from which the events of upstreams are drawn, so that they don't change the other events of a seed. */
const upstreamSeedOffset = 1_000_003;

/** Bounds of the time between two load faults, and their durations. */
const minLoadFaultGapMs = 4000;
const maxLoadFaultGapMs = 12_000;
const minLoadFaultMs = 2000;
const maxLoadFaultMs = 7000;

/** Offset of the seed from which load faults are drawn, so that they don't change the other events of a seed. */
const loadSeedOffset = 2_000_003;

/** Bounds of the time between two events of responses and ends, and the duration of such a fault. */
const minResponseFaultGapMs = 300;
const maxResponseFaultGapMs = 3000;
const minResponseFaultMs = 1000;
const maxResponseFaultMs = 6000;

/** Offset of the seed from which these are drawn, so that they don't change the other events of a seed. */
const responseSeedOffset = 3_000_003;

/** Bounds of the time between two service faults, and their durations. */
const minServiceFaultGapMs = 5000;
const maxServiceFaultGapMs = 12_000;
const minServiceFaultMs = 500;
const maxServiceFaultMs = 5000;

/** Offset of the seed from which service faults are drawn, so that they don't change the other events of a seed. */
const serviceSeedOffset = 4_000_003;

/** Share of the kinds of faults that a seed draws. */
const faultShare = 0.4;

/** Share of the episodes that are planned work if there are faults. */
const plannedShare = 0.7;

/** Plans the events of a soak, in the order of their times. */
export function buildSoakPlan(options: SoakPlanOptions): SoakEvent[] {
	const builders = [buildDisturbances, buildUpstreamEvents, buildLoadFaults, buildResponseFaults, buildServiceFaults];
	return builders.flatMap(build => build(options)).toSorted((left, right) => left.at - right.at);
}

function createRandom(seed: number): SeededRandom {
	const random = new SeededRandom(seed);
	for (let index = 0; index < skippedValues; index++) {
		random.next();
	}

	return random;
}

/** Plans what upstreams ask for. */
function buildUpstreamEvents({seed, duration, vmCount}: SoakPlanOptions): SoakEvent[] {
	const random = createRandom(seed + upstreamSeedOffset);
	const events: SoakEvent[] = [];
	let at = 0;
	for (;;) {
		at += chooseBetween(random, minUpstreamGapMs, maxUpstreamGapMs);
		if (at > duration - quietEndMs) {
			return events;
		}

		events.push({
			at, kind: chooseOne<SoakEventKind>(random, upstreamKinds), vm: chooseInteger(random, vmCount), duration: chooseBetween(random, minLimitMs, maxLimitMs),
		});
	}
}

/** Plans faults in responses, and ends of upstreams. */
function buildResponseFaults({seed, duration, vmCount, hasFaults}: SoakPlanOptions): SoakEvent[] {
	const random = createRandom(seed + responseSeedOffset);
	const events: SoakEvent[] = [];
	let at = 0;
	for (;;) {
		at += chooseBetween(random, minResponseFaultGapMs, maxResponseFaultGapMs);
		if (!hasFaults || at > duration - quietEndMs) {
			return events;
		}

		events.push({
			at,
			kind: chooseOne<SoakEventKind>(random, [...responseFaultKinds, ...endKinds]),
			vm: chooseInteger(random, vmCount),
			duration: chooseBetween(random, minResponseFaultMs, maxResponseFaultMs),
		});
	}
}

/** Plans service faults. */
function buildServiceFaults({seed, duration, vmCount, hasFaults}: SoakPlanOptions): SoakEvent[] {
	const random = createRandom(seed + serviceSeedOffset);
	const events: SoakEvent[] = [];
	let at = 0;
	for (;;) {
		at += chooseBetween(random, minServiceFaultGapMs, maxServiceFaultGapMs);
		const event = {
			at, kind: chooseOne<SoakEventKind>(random, serviceFaults), vm: chooseInteger(random, vmCount), duration: chooseBetween(random, minServiceFaultMs, maxServiceFaultMs),
		};
		if (!hasFaults || at + event.duration > duration - quietEndMs) {
			return events;
		}

		events.push(event);
	}
}

/** Plans load faults, and what callers do, of the kinds that the seed draws. */
function buildLoadFaults({seed, duration, vmCount, hasFaults}: SoakPlanOptions): SoakEvent[] {
	const random = createRandom(seed + loadSeedOffset);
	const kinds = [...loadFaults, ...callerKinds].filter(() => random.next() < faultShare);
	const events: SoakEvent[] = [];
	if (!hasFaults || kinds.length === 0) {
		return events;
	}

	let at = 0;
	for (;;) {
		at += chooseBetween(random, minLoadFaultGapMs, maxLoadFaultGapMs);
		const event = {
			at, kind: chooseOne<SoakEventKind>(random, kinds), vm: chooseInteger(random, vmCount), duration: chooseBetween(random, minLoadFaultMs, maxLoadFaultMs),
		};
		if (at + event.duration > duration - quietEndMs) {
			return events;
		}

		events.push(event);
	}
}

/** Plans planned work and faults. */
function buildDisturbances({seed, duration, vmCount, hasFaults}: SoakPlanOptions): SoakEvent[] {
	const random = createRandom(seed);

	const faults = [...processFaults, ...storeFaults].filter(() => random.next() < faultShare);
	const events: SoakEvent[] = [];
	let at = 0;
	for (;;) {
		at += chooseBetween(random, minEpisodeGapMs, maxEpisodeGapMs);
		if (at > duration - quietEndMs) {
			return events;
		}

		const isFault = hasFaults && faults.length > 0 && random.next() > plannedShare;
		const kind = chooseOne<SoakEventKind>(random, isFault ? faults : plannedKinds);
		events.push(...buildEpisode(random, kind, at, vmCount).filter(event => event.at <= duration - quietEndMs));
	}
}

/** Returns whether a disturbance may end requests. */
export function isProcessFault(kind: SoakEventKind): boolean {
	return ([...processFaults, ...loadFaults, ...serviceFaults] as readonly string[]).includes(kind);
}

/** Returns whether a disturbance excuses no request in general: planned work, what upstreams ask for, callers that leave, and faults in single responses. */
export function isPlanned(kind: SoakEventKind): boolean {
	return ([...plannedKinds, ...upstreamKinds, ...callerKinds, ...endKinds, ...responseFaultKinds] as readonly string[]).includes(kind);
}

/** Plans one event, or a series of restarts in the order of the VMs, in which the same VM may come twice. */
function buildEpisode(random: Random, kind: SoakEventKind, at: number, vmCount: number): SoakEvent[] {
	const first = chooseInteger(random, vmCount);
	const count = kind === 'restart' ? 1 + chooseInteger(random, Math.max(1, Math.floor(vmCount / 2))) : 1;
	const events: SoakEvent[] = [];
	let eventAt = at;
	for (let index = 0; index < count; index++) {
		events.push({
			at: eventAt, kind, vm: (first + index) % vmCount, duration: chooseBetween(random, minFaultMs, maxFaultMs),
		});
		eventAt += chooseBetween(random, minSeriesGapMs, maxSeriesGapMs);
	}

	return events;
}

function chooseBetween(random: Random, min: number, max: number): number {
	return Math.round(min + ((max - min) * random.next()));
}

function chooseOne<T>(random: Random, values: readonly T[]): T {
	return values[chooseInteger(random, values.length)]!;
}
