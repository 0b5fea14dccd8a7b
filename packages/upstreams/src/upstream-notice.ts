/** What upstreams say of themselves in their responses, and how nodes pass it on to each other. */

/** What a response of an upstream says of the upstream. */
export type UpstreamNotice = {
	/** Requests per second that it takes from all nodes together; undefined if it names no limit. */
	readonly rateLimit: number | undefined;

	/** Whether it is about to end, and must get no more calls. */
	readonly isLeaving: boolean;
};

/** A notice as it is sent between nodes. */
export type CarriedNotice = UpstreamNotice & {
	/** Key of the upstream process that it is about, by `buildIncarnationKey`. */
	readonly incarnation: string;

	/** Milliseconds since the sender learned of the limit; 0 from the sidecar itself. */
	readonly age: number;
};

/** The notice of an upstream that has nothing to say. */
export const emptyNotice: UpstreamNotice = {rateLimit: undefined, isLeaving: false};

const parameters = {
	incarnation: 'upstream', rateLimit: 'limit', isLeaving: 'leaving', age: 'age',
} as const;

/** Builds a key that differs between two processes at one address, also if both have the same identity; empty if the process announced no identity. */
export function buildIncarnationKey(instance: string | undefined, startedAt: number | undefined): string {
	return instance === undefined || instance === '' ? '' : `${instance} ${startedAt ?? ''}`;
}

/**
 * Returns whether a key is of the same upstream process as another one, or of a
 * later process with the same identity, also if the start of the other is not known.
 * The leave of the first then also ends the other.
 */
export function isSameOrLaterProcess(key: string, other: string): boolean {
	const [instance, startedAt] = splitIncarnationKey(key);
	const [otherInstance, otherStartedAt] = splitIncarnationKey(other);
	return instance !== '' && instance === otherInstance
		&& (otherStartedAt === '' || (startedAt !== '' && Number(startedAt) >= Number(otherStartedAt)));
}

function splitIncarnationKey(key: string): readonly [instance: string, startedAt: string] {
	const end = key.lastIndexOf(' ');
	return [key.slice(0, Math.max(0, end)), key.slice(end + 1)];
}

/** Parses the value of a limit header: a finite number from 0. Returns undefined for anything else. */
export function parseRateLimit(text: string | string[] | undefined): number | undefined {
	const value = typeof text === 'string' && text.trim() !== '' ? Number(text) : Number.NaN;
	return Number.isFinite(value) && value >= 0 ? value : undefined;
}

/** Encodes a notice as a header value. */
export function encodeNotice({incarnation, rateLimit, isLeaving, age}: CarriedNotice): string {
	const values = new URLSearchParams({[parameters.incarnation]: incarnation});
	if (rateLimit !== undefined) {
		values.set(parameters.rateLimit, String(rateLimit));
		values.set(parameters.age, String(Math.round(age)));
	}

	if (isLeaving) {
		values.set(parameters.isLeaving, '1');
	}

	return values.toString();
}

/** Decodes a header value; undefined if there is none, or it names no upstream process. */
export function decodeNotice(text: string | string[] | undefined): CarriedNotice | undefined {
	if (typeof text !== 'string') {
		return undefined;
	}

	const values = new URLSearchParams(text);
	const incarnation = values.get(parameters.incarnation) ?? '';
	const age = Number(values.get(parameters.age) ?? 0);
	return incarnation === ''
		? undefined
		: {
			incarnation,
			rateLimit: parseRateLimit(values.get(parameters.rateLimit) ?? undefined),
			isLeaving: values.get(parameters.isLeaving) === '1',
			age: Math.max(age, 0),
		};
}
