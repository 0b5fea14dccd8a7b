/**
 * The types of routing rules and of the snapshots that nodes apply.
 *
 * A rule is one line of the operators' file. A snapshot is one accepted
 * version of all rules and is immutable.
 */
import {type Organisation} from '@ebonylead/organisations/organisations.js';

/** A header that a request must carry with exactly this value. */
export type HeaderMatch = {
	/** Name in lower case. */
	readonly name: string;
	readonly value: string;
};

/** The share of a route's calls that goes to one service. */
export type ServiceShare = {
	readonly service: string;

	/** Share in percent; the shares of a rule add up to 100. */
	readonly weight: number;
};

/** One routing rule. */
export type Rule = {
	/** Methods in alphabetic order; empty for any method. */
	readonly methods: readonly string[];

	/** Host name in lower case without a port, or `*`. */
	readonly host: string;

	/** Path pattern: `*` matches one segment, `/**` at the end any number of segments, also none. */
	readonly path: string;
	readonly headers: readonly HeaderMatch[];
	readonly split: readonly ServiceShare[];

	/** Whether a call may safely run more than once. */
	readonly idempotent: boolean;

	/** Time budget of a call in milliseconds, including retries. */
	readonly deadline: number;

	/** Maximum number of concurrent calls of this route on one upstream; undefined if the route has no limit of its own. */
	readonly slots?: number;

	/** Latency objective in milliseconds; a later response is worth less to the caller. Undefined if none is set. */
	readonly objective?: number;

	/** Priority of the route's calls under limited capacity; 0 is the highest. Undefined counts as the lowest. */
	readonly priority?: number;

	/** Maximum number of upstreams that may run one call; undefined for the default of the entry node. */
	readonly maxTries?: number;

	/** Whether requests need no key where organisations are configured; undefined counts as no. */
	readonly isPublic?: boolean;

	/** `local`, `any`, or the data centre that calls should go to first. */
	readonly prefer: string;

	/** Who asked for the rule. */
	readonly askedBy: string;

	/** Why the rule was asked for; may be empty. */
	readonly reason: string;

	/** The version in which the rule was last added or changed. */
	readonly since: number;
};

/** One accepted version of all rules. */
export type Snapshot = {
	/** Increases by one with each accepted version; 0 is the empty set of rules. */
	readonly version: number;
	readonly rules: readonly Rule[];

	/** The organisations that may call the routes that are not public; undefined if the deployment has none, and all routes are public. */
	readonly organisations?: readonly Organisation[];
};

/** A snapshot with its encoded form, as stored in the object store. */
export type EncodedSnapshot = {
	readonly snapshot: Snapshot;
	readonly bytes: Uint8Array;

	/** SHA-256 of the bytes in hexadecimal. */
	readonly digest: string;
};

/** Methods without side effects; rules for these alone are idempotent by default. */
export const safeMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Largest number that a priority may have; the lowest priority. */
export const maxPriority = 9;

/** Deadline of a rule that sets none, in milliseconds. */
export const defaultDeadlineMs = 2000;

/** Longest deadline that a rule may set, in milliseconds. */
export const maxDeadlineMs = 120_000;

/** Caches keys by rule, as each change of a large snapshot needs the key of every rule several times. */
const keyCache = new WeakMap<object, string>();

/** Returns the key that identifies a rule: the text of what it matches. */
export function getRuleKey(rule: Rule): string {
	let key = keyCache.get(rule);
	if (key === undefined) {
		key = buildRuleKey(rule);
		keyCache.set(rule, key);
	}

	return key;
}

function buildRuleKey(rule: Rule): string {
	const methods = rule.methods.length === 0 ? 'ANY' : rule.methods.join(',');
	const headers = rule.headers.map(header => ` header ${header.name}="${header.value}"`).join('');
	return `${methods} ${rule.host}${rule.path}${headers}`;
}

/** Formats a rule as a line of a rule file. */
export function formatRule(rule: Rule): string {
	const split = rule.split.length === 1
		? rule.split[0]!.service
		: rule.split.map(share => `${share.service} ${share.weight}%`).join(', ');
	const kind = rule.idempotent ? 'idempotent' : 'once';
	const slots = rule.slots === undefined ? '' : ` slots ${rule.slots}`;
	const access = rule.isPublic ? ' public' : '';
	const reason = rule.reason === '' ? '' : `: ${rule.reason}`;
	return `${getRuleKey(rule)} -> ${split} ${kind} deadline ${rule.deadline}ms${slots}${access} prefer ${rule.prefer} # ${rule.askedBy}${reason}`;
}

/** Returns whether two rules are equal, regardless of the versions that introduced them. */
export function isSameRule(left: Rule, right: Rule): boolean {
	return left === right || formatRule(left) === formatRule(right);
}

/** Lists the names of all services to which a snapshot's rules send calls. */
export function listServices(snapshot: Snapshot): string[] {
	const names = new Set(snapshot.rules.flatMap(rule => rule.split.map(share => share.service)));
	return [...names].toSorted();
}
