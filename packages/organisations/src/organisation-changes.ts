/** Changes between the organisations of two versions, by name, and their checksum. */
import {hashText} from '@ebonylead/base/hash.js';
import {type Organisation} from './organisations.js';

/** The changes from one list of organisations to a later one. */
export type OrganisationChanges = {
	/** Names of the organisations that were removed. */
	readonly removed: readonly string[];

	/** Organisations that were added or changed. */
	readonly changed: readonly Organisation[];
};

/** Caches formatted contents by organisation, as a new version keeps most of the previous one. */
const contents = new WeakMap<Organisation, string>();

/** Returns whether two organisations are equal. */
export function isSameOrganisation(left: Organisation, right: Organisation): boolean {
	return left === right || getContent(left) === getContent(right);
}

/** Computes the changes from one list to another. */
export function computeOrganisationChanges(from: readonly Organisation[], to: readonly Organisation[]): OrganisationChanges {
	if (from === to) {
		return {removed: [], changed: []};
	}

	const before = buildOrganisationMap(from);
	const after = buildOrganisationMap(to);
	return {
		removed: [...before.keys()].filter(name => !after.has(name)),
		changed: to.filter(organisation => {
			const earlier = before.get(organisation.name);
			return earlier === undefined || !isSameOrganisation(earlier, organisation);
		}),
	};
}

/** Applies changes to the list from which they start. Unchanged organisations stay the same objects, and an unchanged list the same list. */
export function applyOrganisationChanges(from: readonly Organisation[] | undefined, {removed, changed}: OrganisationChanges): readonly Organisation[] {
	if (from !== undefined && removed.length === 0 && changed.length === 0) {
		return from;
	}

	const organisations = buildOrganisationMap(from ?? []);
	for (const name of removed) {
		organisations.delete(name);
	}

	for (const organisation of changed) {
		organisations.set(organisation.name, organisation);
	}

	return [...organisations.values()];
}

/** Computes a checksum of a list, which does not depend on its order. An empty list has another one than a missing list, which counts as 0. */
export function computeOrganisationsChecksum(organisations: readonly Organisation[]): number {
	let sum = hashText(`organisations ${organisations.length}`);
	for (const organisation of organisations) {
		sum = (sum + hashText(getContent(organisation))) >>> 0;
	}

	return sum;
}

/** Builds a map of organisations by their name. */
export function buildOrganisationMap(organisations: readonly Organisation[]): Map<string, Organisation> {
	return new Map(organisations.map(organisation => [organisation.name, organisation]));
}

function getContent(organisation: Organisation): string {
	let content = contents.get(organisation);
	if (content === undefined) {
		const {
			name, keys, priority, rate, burst, askedBy, reason,
		} = organisation;
		content = JSON.stringify([name, keys, priority, rate, burst, askedBy, reason]);
		contents.set(organisation, content);
	}

	return content;
}
