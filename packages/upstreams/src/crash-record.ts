/** What nodes tell each other of a request that was in flight when an upstream crashed. */

/** A request that was in flight at the crash of one upstream process. */
export type CrashRecord = {
	/** Identifies equal requests. */
	readonly fingerprint: string;

	/** Identifies the crash: the same at all nodes, whatever the order in which they learn of crashes. */
	readonly crash: string;

	/** Number of different requests that were in flight at the crash. */
	readonly inFlight: number;

	/** Milliseconds since the crash. */
	readonly age: number;

	/** 1 more than the highest generation of the crashes that were known to the node when the request started. */
	readonly generation: number;

	/** Whether the request has run without a crash since it was known, so that this crash no longer counts against it. */
	readonly isAcquitted: boolean;
};

/** A record on the wire: its values in a fixed order, with the age in whole milliseconds. */
type EncodedRecord = readonly [fingerprint: string, crash: string, inFlight: number, age: number, generation: number, isAcquitted: 0 | 1];

const maxKeyLength = 64;

/** Encodes records as JSON. */
export function encodeCrashRecords(records: readonly CrashRecord[]): string {
	return JSON.stringify(records.map(({fingerprint, crash, inFlight, age, generation, isAcquitted}): EncodedRecord =>
		[fingerprint, crash, inFlight, Math.round(age), generation, isAcquitted ? 1 : 0]));
}

/** Decodes records from JSON; malformed ones are left out, as another version of a node may have sent them. */
export function decodeCrashRecords(text: string | string[] | undefined): CrashRecord[] {
	if (typeof text !== 'string') {
		return [];
	}

	try {
		const value: unknown = JSON.parse(text);
		return Array.isArray(value) ? value.flatMap(item => decodeRecord(item)) : [];
	} catch {
		// What is not JSON tells of no crash.
		return [];
	}
}

function decodeRecord(item: unknown): CrashRecord[] {
	if (!Array.isArray(item)) {
		return [];
	}

	const [fingerprint, crash, inFlight, age, generation, isAcquitted] = item as unknown[];
	return isKey(fingerprint) && isKey(crash) && isCount(inFlight) && isDuration(age) && isCount(generation)
		? [{
			fingerprint, crash, inFlight, age, generation, isAcquitted: isAcquitted === 1,
		}]
		: [];
}

function isKey(value: unknown): value is string {
	return typeof value === 'string' && value !== '' && value.length <= maxKeyLength;
}

function isCount(value: unknown): value is number {
	return Number.isSafeInteger(value) && (value as number) >= 1;
}

function isDuration(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}
