/** The organisations of an accepted version, and the table that finds them by their keys. */

/** An organisation whose requests are served on routes that are not public. */
export type Organisation = {
	/** Unique among the organisations of a version. */
	readonly name: string;

	/** Secrets by which requests are recognised, in the order of the configuration. They must not be logged. An organisation without keys can send no requests. */
	readonly keys: readonly string[];

	/** Priority of all its calls; it takes precedence over the route's. Undefined if the routes decide. */
	readonly priority?: number;

	/** Quota in requests per second over all nodes; undefined if there is none. */
	readonly rate?: number;

	/** Requests that may exceed the rate at once; undefined counts as 0. */
	readonly burst?: number;

	/** Who asked for the organisation, and why; undefined where the configuration does not say. */
	readonly askedBy?: string;
	readonly reason?: string;
};

/** The organisations of one accepted version. */
export class OrganisationTable {
	readonly #organisations: readonly Organisation[];
	readonly #byKey: ReadonlyMap<string, Organisation>;
	readonly #byName: ReadonlyMap<string, Organisation>;

	constructor(organisations: readonly Organisation[]) {
		this.#organisations = organisations;
		this.#byKey = new Map(organisations.flatMap(organisation => organisation.keys.map(key => [key, organisation] as const)));
		this.#byName = new Map(organisations.map(organisation => [organisation.name, organisation]));
	}

	/** Finds the organisation that a key belongs to. */
	findByKey(key: string): Organisation | undefined {
		return this.#byKey.get(key);
	}

	/** Finds an organisation by its name. */
	findByName(name: string): Organisation | undefined {
		return this.#byName.get(name);
	}

	/** Lists all organisations, in the order of the configuration. */
	listAll(): readonly Organisation[] {
		return this.#organisations;
	}
}

/** Returns what is wrong with a list of organisations, or undefined if it is valid. The reason names no key. */
export function validateOrganisations(organisations: readonly Organisation[]): string | undefined {
	const names = new Set<string>();
	const owners = new Map<string, string>();
	for (const organisation of organisations) {
		const fault = validateOrganisation(organisation);
		if (fault !== undefined) {
			return fault;
		}

		if (names.has(organisation.name)) {
			return `two organisations have the name ${JSON.stringify(organisation.name)}`;
		}

		names.add(organisation.name);
		for (const key of organisation.keys) {
			const owner = owners.get(key);
			if (owner !== undefined) {
				return `a key belongs to ${JSON.stringify(owner)} and to ${JSON.stringify(organisation.name)}, or twice to one of them`;
			}

			owners.set(key, organisation.name);
		}
	}

	return undefined;
}

/** Names and keys are sent as header values, of which leading and trailing spaces are not part. */
const headerTextPattern = /^[\u{21}-\u{7E}](?:[\u{20}-\u{7E}]*[\u{21}-\u{7E}])?$/v;

function validateOrganisation({name, keys, priority, rate, burst}: Organisation): string | undefined {
	if (typeof name !== 'string' || !headerTextPattern.test(name)) {
		return `the organisation ${JSON.stringify(name)} has a name that is not printable ASCII text`;
	}

	const label = `organisation ${JSON.stringify(name)}`;
	if (!Array.isArray(keys) || !(keys as readonly unknown[]).every(key => typeof key === 'string' && headerTextPattern.test(key))) {
		return `${label} has a key that is not printable ASCII text`;
	}

	if (priority !== undefined && !(Number.isSafeInteger(priority) && priority >= 0)) {
		return `${label} has a priority that is not an integer from 0`;
	}

	if ([rate, burst].some(value => value !== undefined && !(Number.isFinite(value) && value >= 0))) {
		return `${label} has a rate or a burst that is not a number from 0`;
	}

	return undefined;
}

/** Organisations whose fields are in order already, as a new version keeps most of the previous one. */
const orderedOrganisations = new WeakSet<Organisation>();

/** Orders organisations by name and their fields in a fixed order, so that equal lists have equal encodings. */
export function orderOrganisations(organisations: readonly Organisation[]): Organisation[] {
	return organisations
		.map(organisation => orderFields(organisation))
		.toSorted((left, right) => left.name < right.name ? -1 : Number(left.name > right.name));
}

function orderFields(organisation: Organisation): Organisation {
	if (orderedOrganisations.has(organisation)) {
		return organisation;
	}

	const {
		name, keys, priority, rate, burst, askedBy, reason,
	} = organisation;
	const ordered = {
		name,
		keys,
		...(priority === undefined ? {} : {priority}),
		...(rate === undefined ? {} : {rate}),
		...(burst === undefined ? {} : {burst}),
		...(askedBy === undefined ? {} : {askedBy}),
		...(reason === undefined ? {} : {reason}),
	};
	orderedOrganisations.add(ordered);
	return ordered;
}
