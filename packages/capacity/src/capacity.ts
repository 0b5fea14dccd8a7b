/** What a sidecar reports of the capacity of its upstream, and the ways of load balancing. */

/** How a node balances the load between upstreams. */
export const loadBalancings = {
	/** By the load that sidecars report. */
	load: 'load',

	/** By the expected end of the call, from learnt limits and service times. */
	learnt: 'learnt',
} as const;

/** One of `loadBalancings`. */
export type LoadBalancing = typeof loadBalancings[keyof typeof loadBalancings];

/** Learnt capacity of one upstream. */
export type CapacityReport = {
	/** Learnt number of calls that the upstream runs at the same time without loss. */
	readonly limit: number;

	/** Mean service time of the call's route in milliseconds; 0 if it is not known. */
	readonly mean: number;
};

/** Encodes a report as a header value. */
export function encodeCapacity({limit, mean}: CapacityReport): string {
	return `${limit};${mean.toFixed(1)}`;
}

/** Decodes a header value; undefined if it is absent or invalid. */
export function decodeCapacity(value: string | string[] | undefined): CapacityReport | undefined {
	const match = typeof value === 'string' ? /^(?<limit>\d{1,6});(?<mean>\d{1,9}(?:\.\d{1,3})?)$/v.exec(value) : undefined;
	const [limit, mean] = [Number(match?.groups?.limit), Number(match?.groups?.mean)];
	return limit > 0 && mean >= 0 ? {limit, mean} : undefined;
}
