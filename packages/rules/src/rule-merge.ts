/** Merges an operator's edit with a head that has changed since its base version. */
import {buildOrganisationMap, isSameOrganisation} from '@ebonylead/organisations/organisation-changes.js';
import {validateOrganisations, type Organisation} from '@ebonylead/organisations/organisations.js';
import {Left, Right, type Either} from 'purify-ts';
import {formatOrganisationWithoutKeys} from './organisation-lines.js';
import {
	formatRule, isSameRule, type Rule, type Snapshot,
} from './rules.js';
import {buildRuleMap} from './snapshot-delta.js';

/** Two different edits of the same line. */
export type RuleConflict = {
	/** Key of the rule: the text of what it matches; or `organisation` and the name of an organisation. */
	readonly key: string;

	/** The submitted line, or undefined if the submission removes it. */
	readonly submitted?: string;

	/** The line at the head, or undefined if it was removed. */
	readonly current?: string;

	/** Who asked for the line at the head, or for the line that was removed. */
	readonly askedBy: string;

	/** The version that introduced the other edit. */
	readonly version: number;
};

/** The result of a merge. */
export type RuleMerge = {
	readonly rules: readonly Rule[];

	/** The organisations of the next version. An empty list, by which no key is valid, stays when the last organisation is removed; otherwise all routes would become public. */
	readonly organisations: readonly Organisation[] | undefined;

	/** Keys of the lines that others changed since the base version; their edits are kept. */
	readonly merged: readonly string[];

	/** Keys of the lines that the submission changes. */
	readonly changed: readonly string[];
};

/** The inputs of a merge. */
export type MergeInput = {
	/** The version that the operator edited. */
	readonly base: Snapshot;

	/** The newest accepted version. */
	readonly head: Snapshot;

	/** The rules that the operator submits. */
	readonly submitted: readonly Rule[];

	/** The organisations that the operator submits; undefined if there are none. */
	readonly submittedOrganisations?: readonly Organisation[];

	/** The version that the submission will get. */
	readonly nextVersion: number;
};

/**
 * Merges a submission with the head, rule by rule: an edit conflicts only with a different edit of the same rule.
 *
 * @returns The rules of the next version, or all conflicts.
 */
export function mergeRules(input: MergeInput): Either<RuleConflict[], RuleMerge> {
	const base = buildRuleMap(input.base.rules);
	const head = buildRuleMap(input.head.rules);
	const submitted = buildRuleMap(input.submitted);
	const rules = new Map(head);
	const conflicts: RuleConflict[] = [];
	const merged: string[] = [];
	const changed: string[] = [];
	for (const key of new Set([...base.keys(), ...head.keys(), ...submitted.keys()])) {
		const submittedRule = submitted.get(key);
		const headRule = head.get(key);
		const baseRule = base.get(key);
		const isSubmittedChanged = !isEqual(baseRule, submittedRule);
		const isHeadChanged = !isEqual(baseRule, headRule);
		if (isSubmittedChanged && isHeadChanged && !isEqual(submittedRule, headRule)) {
			conflicts.push(buildConflict(key, submittedRule, headRule, baseRule, input.head.version));
			continue;
		}

		if (isHeadChanged) {
			merged.push(key);
		} else if (isSubmittedChanged) {
			changed.push(key);
			setRule(rules, key, submittedRule, input.nextVersion);
		}
	}

	const organisations = mergeOrganisations(input, {conflicts, merged, changed});
	return conflicts.length > 0
		? Left(conflicts)
		: Right({
			rules: [...rules.values()], organisations, merged, changed,
		});
}

/** Where a merge of organisations adds its results. */
type MergeResults = {readonly conflicts: RuleConflict[]; readonly merged: string[]; readonly changed: string[]};

/** Merges the organisations as the rules, by name. */
function mergeOrganisations({base, head, submittedOrganisations}: MergeInput, results: MergeResults): readonly Organisation[] | undefined {
	if (head.organisations === undefined && submittedOrganisations === undefined) {
		return undefined;
	}

	const baseMap = buildOrganisationMap(base.organisations ?? []);
	const headMap = buildOrganisationMap(head.organisations ?? []);
	const submittedMap = buildOrganisationMap(submittedOrganisations ?? []);
	const organisations = new Map(headMap);
	for (const name of new Set([...baseMap.keys(), ...headMap.keys(), ...submittedMap.keys()])) {
		const [before, current, submitted] = [baseMap.get(name), headMap.get(name), submittedMap.get(name)];
		const key = `organisation ${name}`;
		const isSubmittedChanged = !isEqualOrganisation(before, submitted);
		const isHeadChanged = !isEqualOrganisation(before, current);
		if (isSubmittedChanged && isHeadChanged && !isEqualOrganisation(submitted, current)) {
			results.conflicts.push({
				key,
				submitted: submitted && formatOrganisationWithoutKeys(submitted),
				current: current && formatOrganisationWithoutKeys(current),
				askedBy: current?.askedBy ?? before?.askedBy ?? 'unknown',
				version: head.version,
			});
		} else if (isHeadChanged) {
			results.merged.push(key);
		} else if (isSubmittedChanged) {
			results.changed.push(key);
			setOrganisation(organisations, name, submitted);
		}
	}

	// Two edits of different organisations may have added the same key.
	const list = [...organisations.values()];
	const fault = validateOrganisations(list);
	if (fault !== undefined) {
		results.conflicts.push({
			key: 'organisations', submitted: fault, askedBy: 'unknown', version: head.version,
		});
	}

	return list;
}

function isEqualOrganisation(left: Organisation | undefined, right: Organisation | undefined): boolean {
	return left === undefined || right === undefined ? left === right : isSameOrganisation(left, right);
}

function setOrganisation(organisations: Map<string, Organisation>, name: string, organisation: Organisation | undefined): void {
	if (organisation === undefined) {
		organisations.delete(name);
	} else {
		organisations.set(name, organisation);
	}
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

function buildConflict(key: string, submittedRule: Rule | undefined, headRule: Rule | undefined, baseRule: Rule | undefined, headVersion: number): RuleConflict {
	return {
		key,
		submitted: submittedRule && formatRule(submittedRule),
		current: headRule && formatRule(headRule),
		askedBy: headRule?.askedBy ?? baseRule?.askedBy ?? 'unknown',
		version: headRule?.since ?? headVersion,
	};
}
