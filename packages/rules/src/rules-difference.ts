/** Differences between two accepted versions, for nodes that follow another node. Cost and size grow with the change where unchanged rules are the same objects. */
import {isDeepStrictEqual} from 'node:util';
import {Left, Right, type Either} from 'purify-ts';
import {hashText} from '@ebonylead/base/hash.js';
import {
	applyOrganisationChanges, computeOrganisationChanges, computeOrganisationsChecksum, type OrganisationChanges,
} from '@ebonylead/organisations/organisation-changes.js';
import {type AcceptedRules, type CallerLimits} from './rule-source.js';
import {getRuleKey, type Rule} from './rules.js';

/** The changes from one accepted version to a later one. */
export type RulesDifference = {
	readonly fromVersion: number;
	readonly toVersion: number;

	/** Checksum of the later version. */
	readonly checksum: number;
	readonly limits: CallerLimits | undefined;

	/** Health paths of the later version; undefined if they are those of the earlier one. */
	readonly healthPaths?: Readonly<Record<string, string>>;

	/** Keys of the rules that were removed. */
	readonly removed: readonly string[];

	/** Rules that were added or changed. */
	readonly changed: readonly Rule[];

	/** Changes of the organisations; undefined if the later version has none. */
	readonly organisations?: OrganisationChanges;
};

/** Caches checksums by rule, as a new version keeps most rules of the previous one. */
const checksums = new WeakMap<Rule, number>();

/**
 * Computes a checksum of an accepted version. It does not depend on the order of the rules, nor
 * on the versions in which they were last changed, as these differ between nodes that skipped different versions,
 * nor on the health paths, which earlier versions of the program do not know.
 */
export function computeChecksum({snapshot, limits}: AcceptedRules): number {
	let sum = hashText(JSON.stringify([snapshot.version, snapshot.rules.length, limits && formatLimits(limits)]));
	if (snapshot.organisations !== undefined) {
		sum = (sum + computeOrganisationsChecksum(snapshot.organisations)) >>> 0;
	}

	for (const rule of snapshot.rules) {
		sum = (sum + getRuleChecksum(rule)) >>> 0;
	}

	return sum;
}

/** Computes the changes from one version to another; undefined if either has two rules with the same key, so that a difference by keys can't express them. */
export function computeDifference(from: AcceptedRules, to: AcceptedRules): RulesDifference | undefined {
	const before = buildRulesByKey(from);
	const after = buildRulesByKey(to);
	if (before === undefined || after === undefined) {
		return undefined;
	}

	return {
		fromVersion: from.snapshot.version,
		toVersion: to.snapshot.version,
		checksum: computeChecksum(to),
		limits: to.limits,
		healthPaths: isDeepStrictEqual(from.healthPaths, to.healthPaths) ? undefined : to.healthPaths,
		removed: [...before.keys()].filter(key => !after.has(key)),
		changed: to.snapshot.rules.filter(rule => {
			const earlier = before.get(getRuleKey(rule));
			return earlier === undefined || !hasSameContent(earlier, rule);
		}),
		organisations: to.snapshot.organisations && computeOrganisationChanges(from.snapshot.organisations ?? [], to.snapshot.organisations),
	};
}

/**
 * Applies a difference to the version from which it starts. Unchanged rules stay the same objects, in the same order.
 *
 * @returns The later version, or the reason why the difference does not produce it.
 */
export function applyDifference(from: AcceptedRules, difference: RulesDifference): Either<string, AcceptedRules> {
	const {fromVersion, toVersion, removed, changed, limits, healthPaths = from.healthPaths, checksum} = difference;
	const rulesByKey = buildRulesByKey(from);
	if (rulesByKey === undefined || from.snapshot.version !== fromVersion) {
		return Left(`the difference starts from version ${fromVersion}, not from version ${from.snapshot.version}`);
	}

	for (const key of removed) {
		rulesByKey.delete(key);
	}

	for (const rule of changed) {
		rulesByKey.set(getRuleKey(rule), rule);
	}

	const organisations = difference.organisations && applyOrganisationChanges(from.snapshot.organisations, difference.organisations);
	const snapshot = {version: toVersion, rules: [...rulesByKey.values()], ...(organisations === undefined ? {} : {organisations})};
	const rules = {snapshot, limits, ...(healthPaths === undefined ? {} : {healthPaths})};
	return computeChecksum(rules) === checksum
		? Right(rules)
		: Left(`the difference from version ${fromVersion} to version ${toVersion} gives another checksum`);
}

function buildRulesByKey({snapshot}: AcceptedRules): Map<string, Rule> | undefined {
	const rulesByKey = new Map(snapshot.rules.map(rule => [getRuleKey(rule), rule]));
	return rulesByKey.size === snapshot.rules.length ? rulesByKey : undefined;
}

function hasSameContent(left: Rule, right: Rule): boolean {
	return left === right || (getRuleChecksum(left) === getRuleChecksum(right) && formatContent(left) === formatContent(right));
}

function getRuleChecksum(rule: Rule): number {
	let checksum = checksums.get(rule);
	if (checksum === undefined) {
		checksum = hashText(formatContent(rule));
		checksums.set(rule, checksum);
	}

	return checksum;
}

/** Formats what a rule says, without the version in which it was last changed. */
function formatContent(rule: Rule): string {
	return JSON.stringify([
		getRuleKey(rule),
		rule.split.map(({service, weight}) => [service, weight]),
		rule.idempotent,
		rule.deadline,
		rule.slots,
		rule.objective,
		rule.priority,
		rule.maxTries,
		rule.prefer,
		rule.askedBy,
		rule.reason,
		...(rule.isPublic ? [true] : []),
	]);
}

function formatLimits({headerBytes, bodyBytes, headerTime, idleTime}: CallerLimits): number[] {
	return [headerBytes, bodyBytes, headerTime, idleTime];
}
