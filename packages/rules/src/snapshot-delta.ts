/** Differences between two snapshots, rule by rule. */
import {applyOrganisationChanges, computeOrganisationChanges, type OrganisationChanges} from '@ebonylead/organisations/organisation-changes.js';
import {Left, Right, type Either} from 'purify-ts';
import {
	getRuleKey, isSameRule, type EncodedSnapshot, type Rule, type Snapshot,
} from './rules.js';
import {encodeSnapshot} from './snapshot-codec.js';

/** The changes from one snapshot to a later one. */
export type SnapshotDelta = {
	readonly fromVersion: number;
	readonly toVersion: number;

	/** Digest of the later snapshot's bytes. */
	readonly toDigest: string;

	/** Keys of the rules that were removed. */
	readonly removed: readonly string[];

	/** Rules that were added or changed. */
	readonly changed: readonly Rule[];

	/** Changes of the organisations; undefined if the later snapshot has none. */
	readonly organisations?: OrganisationChanges;
};

/** Builds a map of rules by their key. */
export function buildRuleMap(rules: readonly Rule[]): Map<string, Rule> {
	return new Map(rules.map(rule => [getRuleKey(rule), rule]));
}

/** Computes the changes from one snapshot to another. */
export function computeDelta(from: Snapshot, to: EncodedSnapshot): SnapshotDelta {
	const before = buildRuleMap(from.rules);
	const after = buildRuleMap(to.snapshot.rules);
	return {
		fromVersion: from.version,
		toVersion: to.snapshot.version,
		toDigest: to.digest,
		removed: [...before.keys()].filter(key => !after.has(key)),
		changed: to.snapshot.rules.filter(rule => {
			const earlier = before.get(getRuleKey(rule));
			return earlier?.since !== rule.since || !isSameRule(earlier, rule);
		}),
		...(to.snapshot.organisations === undefined ? {} : {organisations: computeOrganisationChanges(from.organisations ?? [], to.snapshot.organisations)}),
	};
}

/**
 * Applies a delta to the snapshot from which it starts.
 *
 * @returns The later snapshot, or the reason why the delta does not produce it.
 */
export function applyDelta(from: Snapshot, delta: SnapshotDelta): Either<string, EncodedSnapshot> {
	if (from.version !== delta.fromVersion) {
		return Left(`the delta starts from version ${delta.fromVersion}, not from version ${from.version}`);
	}

	const rules = buildRuleMap(from.rules);
	for (const key of delta.removed) {
		rules.delete(key);
	}

	for (const rule of delta.changed) {
		rules.set(getRuleKey(rule), rule);
	}

	const organisations = delta.organisations && applyOrganisationChanges(from.organisations, delta.organisations);
	const result = encodeSnapshot({version: delta.toVersion, rules: [...rules.values()], ...(organisations === undefined ? {} : {organisations})});
	return result.digest === delta.toDigest
		? Right(result)
		: Left(`the delta to version ${delta.toVersion} gives the digest ${result.digest}, not ${delta.toDigest}`);
}
