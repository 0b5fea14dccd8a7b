/**
 * The types of routing rules and of the snapshot that proxies enforce.
 *
 * A rule is one line of the operators' file. A snapshot is one accepted
 * version of all rules; it never changes once it is made.
 */

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

	/** Path pattern: `*` stands for one segment, `/**` at the end for all below. */
	readonly path: string;
	readonly headers: readonly HeaderMatch[];
	readonly split: readonly ServiceShare[];

	/** Whether a call may run more than once without harm. */
	readonly idempotent: boolean;

	/** Longest time of a call in milliseconds, retries included. */
	readonly deadline: number;

	/** Most calls of this route at once on one upstream; undefined for no own limit. */
	readonly slots?: number;

	/** Time in milliseconds within which an answer is worth most; undefined where none was set. */
	readonly objective?: number;

	/** Rank of the route's calls when room is short; 0 goes first. Undefined counts as the last rank. */
	readonly priority?: number;

	/** Most upstreams that one call may be sent to; undefined for the product's own limit. */
	readonly maxTries?: number;

	/** `local`, `any`, or the data centre that calls should go to first. */
	readonly prefer: string;

	/** Who asked for the rule. */
	readonly askedBy: string;

	/** Why the rule was asked for; may be empty. */
	readonly reason: string;

	/** The version in which this rule came in, in its present form. */
	readonly since: number;
};

/** One accepted version of all rules. */
export type Snapshot = {
	/** Counts up by one with each accepted version; 0 is the empty set of rules. */
	readonly version: number;
	readonly rules: readonly Rule[];
};

/** The snapshot with its bytes, as the object store keeps it. */
export type EncodedSnapshot = {
	readonly snapshot: Snapshot;
	readonly bytes: Uint8Array;

	/** SHA-256 of the bytes in hexadecimal. */
	readonly digest: string;
};

/** Methods that run without effect, so that rules need not say `idempotent`. */
export const safeMethods: readonly string[] = ['GET', 'HEAD', 'OPTIONS'];

/** Deadline in milliseconds of a rule that names none. */
export const defaultDeadlineMs = 2000;

/** Longest deadline in milliseconds that a rule may name. */
export const maxDeadlineMs = 120_000;

/** Keys of rules that were asked for before; a large snapshot asks for each several times a change. */
const keyCache = new WeakMap<object, string>();

/** Returns the text that tells two rules apart: what they match. */
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

/** Returns the rule as a line of a rule file. */
export function formatRule(rule: Rule): string {
	const split = rule.split.length === 1
		? rule.split[0]!.service
		: rule.split.map(share => `${share.service} ${share.weight}%`).join(', ');
	const kind = rule.idempotent ? 'idempotent' : 'once';
	const slots = rule.slots === undefined ? '' : ` slots ${rule.slots}`;
	const reason = rule.reason === '' ? '' : `: ${rule.reason}`;
	return `${getRuleKey(rule)} -> ${split} ${kind} deadline ${rule.deadline}ms${slots} prefer ${rule.prefer} # ${rule.askedBy}${reason}`;
}

/** Says whether two rules do the same, whatever version they came in. */
export function isSameRule(left: Rule, right: Rule): boolean {
	return left === right || formatRule(left) === formatRule(right);
}

/** Returns the names of all services that a snapshot's rules send calls to. */
export function listServices(snapshot: Snapshot): string[] {
	const names = new Set(snapshot.rules.flatMap(rule => rule.split.map(share => share.service)));
	return [...names].toSorted();
}
