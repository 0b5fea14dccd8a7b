/** Merges an operator's edit onto a head that moved in the meantime. */
import {Left, Right, type Either} from 'purify-ts';
import {
	formatRule, isSameRule, type Rule, type Snapshot,
} from './rules.js';
import {mapRules} from './snapshot-delta.js';

/** Two edits of the same line. */
export type RuleConflict = {
	/** What the line matches. */
	readonly key: string;

	/** The submitted line, or undefined where the submission removes it. */
	readonly submitted?: string;

	/** The line that is in force, or undefined where it was removed. */
	readonly current?: string;

	/** Who asked for the line in force, or for the line that was removed. */
	readonly askedBy: string;

	/** The version in which the other edit came in. */
	readonly version: number;
};

/** The outcome of a merge. */
export type RuleMerge = {
	readonly rules: readonly Rule[];

	/** Keys of the lines that others changed since the base and that were kept. */
	readonly merged: readonly string[];

	/** Keys of the lines that the submission changes. */
	readonly changed: readonly string[];
};

/** What a merge starts from. */
export type MergeInput = {
	/** The version that the operator edited. */
	readonly base: Snapshot;

	/** The newest accepted version. */
	readonly head: Snapshot;

	/** The rules that the operator submits. */
	readonly submitted: readonly Rule[];

	/** The version that the submission will get. */
	readonly nextVersion: number;
};

/**
 * Merges by line: an edit of a line clashes only with another edit of it.
 *
 * @returns The rules of the next version, or every clash.
 */
export function mergeRules(input: MergeInput): Either<RuleConflict[], RuleMerge> {
	const base = mapRules(input.base.rules);
	const head = mapRules(input.head.rules);
	const submitted = mapRules(input.submitted);
	const rules = new Map(head);
	const conflicts: RuleConflict[] = [];
	const merged: string[] = [];
	const changed: string[] = [];
	for (const key of new Set([...base.keys(), ...head.keys(), ...submitted.keys()])) {
		const mine = submitted.get(key);
		const theirs = head.get(key);
		const before = base.get(key);
		const isMineChanged = !isEqual(before, mine);
		const isTheirsChanged = !isEqual(before, theirs);
		if (isMineChanged && isTheirsChanged && !isEqual(mine, theirs)) {
			conflicts.push(describeConflict(key, mine, theirs, before, input.head.version));
			continue;
		}

		if (isTheirsChanged) {
			merged.push(key);
		} else if (isMineChanged) {
			changed.push(key);
			setRule(rules, key, mine, input.nextVersion);
		}
	}

	return conflicts.length > 0 ? Left(conflicts) : Right({rules: [...rules.values()], merged, changed});
}

function isEqual(left: Rule | undefined, right: Rule | undefined): boolean {
	return left === undefined || right === undefined ? left === right : isSameRule(left, right);
}

function setRule(rules: Map<string, Rule>, key: string, rule: Rule | undefined, version: number): void {
	if (rule === undefined) {
		rules.delete(key);
	} else {
		rules.set(key, {...rule, since: version});
	}
}

function describeConflict(key: string, mine: Rule | undefined, theirs: Rule | undefined, before: Rule | undefined, headVersion: number): RuleConflict {
	return {
		key,
		submitted: mine && formatRule(mine),
		current: theirs && formatRule(theirs),
		askedBy: theirs?.askedBy ?? before?.askedBy ?? 'unknown',
		version: theirs?.since ?? headVersion,
	};
}
