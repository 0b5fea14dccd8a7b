/** Differences between two snapshots, by rule. */
import {Left, Right, type Either} from 'purify-ts';
import {
	getRuleKey, isSameRule, type EncodedSnapshot, type Rule, type Snapshot,
} from './rules.js';
import {encodeSnapshot} from './snapshot-codec.js';

/** What leads from one snapshot to a later one. */
export type SnapshotDelta = {
	readonly fromVersion: number;
	readonly toVersion: number;

	/** Digest of the later snapshot's bytes. */
	readonly toDigest: string;

	/** Keys of the rules that went. */
	readonly removed: readonly string[];

	/** Rules that came or changed. */
	readonly changed: readonly Rule[];
};

/** Returns the rules of a snapshot by their key. */
export function buildRuleMap(rules: readonly Rule[]): Map<string, Rule> {
	return new Map(rules.map(rule => [getRuleKey(rule), rule]));
}

/** Computes what leads from one snapshot to another. */
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
	};
}

/**
 * Applies a delta to the snapshot it starts from.
 *
 * @returns The later snapshot, or a reason why the delta does not lead there.
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

	const result = encodeSnapshot({version: delta.toVersion, rules: [...rules.values()]});
	return result.digest === delta.toDigest
		? Right(result)
		: Left(`the delta to version ${delta.toVersion} gives the digest ${result.digest}, not ${delta.toDigest}`);
}
