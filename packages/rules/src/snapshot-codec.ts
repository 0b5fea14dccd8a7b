/** Encodes snapshots, and decodes and validates received ones. */
import {Buffer} from 'node:buffer';
import {describeJsonError} from '@ebonylead/base/errors.js';
import {computeDigest} from '@ebonylead/base/hash.js';
import {orderOrganisations, validateOrganisations, type Organisation} from '@ebonylead/organisations/organisations.js';
import {Left, Right, type Either} from 'purify-ts';
import {
	getRuleKey, type EncodedSnapshot, type Rule, type ServiceShare, type Snapshot,
} from './rules.js';

/** Version of the encoding, stored in the field `format`. */
const encodingVersion = 1;

type EncodedValue = {format: number; version: number; rules: Rule[]; organisations?: Organisation[]};

/** Encodes a snapshot; the same snapshot always gives the same bytes. */
export function encodeSnapshot(snapshot: Snapshot): EncodedSnapshot {
	const rules = snapshot.rules.map(rule => orderFields(rule)).toSorted(compareRules);
	const organisations = snapshot.organisations && orderOrganisations(snapshot.organisations);
	const ordered = {version: snapshot.version, rules, ...(organisations === undefined ? {} : {organisations})};
	const bytes = Buffer.from(JSON.stringify({format: encodingVersion, ...ordered}));
	return {snapshot: ordered, bytes, digest: computeDigest(bytes)};
}

/** A snapshot that is encoded on the first access to its bytes or digest: with thousands of rules, encoding takes longer than the rest of an update. */
export class LazySnapshot implements EncodedSnapshot {
	readonly snapshot: Snapshot;
	#encoded: EncodedSnapshot | undefined;

	constructor(snapshot: Snapshot) {
		this.snapshot = snapshot;
	}

	get bytes(): Uint8Array {
		return this.#encode().bytes;
	}

	get digest(): string {
		return this.#encode().digest;
	}

	#encode(): EncodedSnapshot {
		this.#encoded ??= encodeSnapshot(this.snapshot);
		return this.#encoded;
	}
}

/** The initial snapshot of every node: version 0, no rules. */
export const emptySnapshot: EncodedSnapshot = encodeSnapshot({version: 0, rules: []});

/**
 * Decodes the bytes of a snapshot.
 *
 * @returns The snapshot, or the reason why the bytes must not be applied.
 */
export function decodeSnapshot(bytes: Uint8Array, digest: string): Either<string, EncodedSnapshot> {
	if (computeDigest(bytes) !== digest) {
		return Left(`the bytes do not have the digest ${digest}`);
	}

	try {
		const value = JSON.parse(Buffer.from(bytes).toString('utf8')) as EncodedValue;
		const fault = validateSnapshot(value);
		const {version, rules, organisations} = value;
		return fault === undefined
			? Right({snapshot: {version, rules, ...(organisations === undefined ? {} : {organisations})}, bytes, digest})
			: Left(fault);
	} catch (error) {
		return Left(`the bytes are not a snapshot: ${describeJsonError(error)}`);
	}
}

/** Returns what is wrong with a decoded value, or undefined if it is valid. */
function validateSnapshot(value: EncodedValue): string | undefined {
	if (value.format !== encodingVersion) {
		return `format ${String(value.format)} is not known; this program reads format ${encodingVersion}`;
	}

	if (!Number.isSafeInteger(value.version) || value.version < 0 || !Array.isArray(value.rules)) {
		return 'the version or the list of rules is missing';
	}

	if (value.organisations !== undefined && !Array.isArray(value.organisations)) {
		return 'the organisations are not a list';
	}

	const bad = value.rules.find(rule => !isRule(rule));
	return bad === undefined ? validateOrganisations(value.organisations ?? []) : `a rule is incomplete: ${JSON.stringify(bad).slice(0, 200)}`;
}

function isRule(rule: Rule): boolean {
	const split = rule.split as readonly ServiceShare[] | undefined;
	return Array.isArray(rule.methods)
		&& typeof rule.host === 'string'
		&& typeof rule.path === 'string'
		&& Array.isArray(rule.headers)
		&& Array.isArray(split) && split.length > 0
		&& (split as readonly ServiceShare[]).every(share => typeof share.service === 'string' && share.weight > 0)
		&& typeof rule.idempotent === 'boolean'
		&& rule.deadline > 0
		&& typeof rule.prefer === 'string';
}

/** Rules whose fields are in order already, as a new snapshot keeps most rules of the previous one. */
const orderedRules = new WeakSet<Rule>();

/** Puts the fields in a fixed order, as JSON.stringify keeps the order of insertion. */
function orderFields(rule: Rule): Rule {
	if (orderedRules.has(rule)) {
		return rule;
	}

	const ordered = buildOrderedRule(rule);
	orderedRules.add(ordered);
	return ordered;
}

function buildOrderedRule(rule: Rule): Rule {
	return {
		methods: rule.methods,
		host: rule.host,
		path: rule.path,
		headers: rule.headers.map(({name, value}) => ({name, value})),
		split: rule.split.map(({service, weight}) => ({service, weight})),
		idempotent: rule.idempotent,
		deadline: rule.deadline,
		...(rule.slots === undefined ? {} : {slots: rule.slots}),
		...(rule.objective === undefined ? {} : {objective: rule.objective}),
		...(rule.priority === undefined ? {} : {priority: rule.priority}),
		...(rule.maxTries === undefined ? {} : {maxTries: rule.maxTries}),
		...(rule.isPublic ? {isPublic: true} : {}),
		prefer: rule.prefer,
		askedBy: rule.askedBy,
		reason: rule.reason,
		since: rule.since,
	};
}

function compareRules(left: Rule, right: Rule): number {
	const leftKey = getRuleKey(left);
	const rightKey = getRuleKey(right);
	return leftKey < rightKey ? -1 : Number(leftKey > rightKey);
}
