/** Splits the key space of a data centre into the ranges of a push tree. */
import {hashText} from '@ebonylead/base/hash.js';
import {type KeyRange} from './generated/peers.js';
import {keySpaceSize, type KnownMember, type Membership} from './membership.js';

/** A part of a range with the members that may lead it, the best one first. */
export type Branch = {
	readonly range: KeyRange;
	readonly candidates: readonly KnownMember[];
};

/** Returns the range that covers a whole data centre. */
export function buildFullRange(dataCentre: string): KeyRange {
	return {dataCentre, low: 0, high: keySpaceSize};
}

/** Returns the active members of a range, without some identities. */
export function listMembersInRange(membership: Membership, range: KeyRange, excludedIds: readonly string[]): KnownMember[] {
	return membership.listActive(range.dataCentre)
		.filter(known => known.key >= range.low && known.key < range.high && !excludedIds.includes(known.member.id));
}

/**
 * Splits a range by key, not by count of members: so a member that comes or
 * goes changes only the branch it is in, and connections last.
 */
export function splitRange(members: readonly KnownMember[], range: KeyRange, fanout: number): Branch[] {
	if (members.length <= fanout) {
		return members.map(known => ({
			range: {dataCentre: range.dataCentre, low: known.key, high: known.key + 1},
			candidates: [known],
		}));
	}

	const width = Math.ceil((range.high - range.low) / fanout);
	const branches: Branch[] = [];
	for (let {low} = range; low < range.high; low += width) {
		const high = Math.min(range.high, low + width);
		const inside = members.filter(known => known.key >= low && known.key < high);
		if (inside.length > 0) {
			branches.push({range: {dataCentre: range.dataCentre, low, high}, candidates: rankLeaders(inside, low)});
		}
	}

	return branches;
}

/** Orders members by their fitness to lead a range, which is a rendezvous hash. */
export function rankLeaders(members: readonly KnownMember[], low: number): KnownMember[] {
	const scored = members.map(known => ({known, score: hashText(known.member.id, low >>> 0)}));
	return scored.toSorted((left, right) => right.score - left.score).map(({known}) => known);
}

/** Returns how many levels of pushes a range of members needs. */
export function countLevels(memberCount: number, fanout: number): number {
	return memberCount <= 1 ? 1 : 1 + Math.ceil(Math.log(memberCount) / Math.log(fanout));
}
