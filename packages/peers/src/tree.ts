/** Splits the key space of a data centre into the branches of a push tree. */
import {hashText} from '@ebonylead/base/hash.js';
import {type KeyRange} from './generated/peers.js';
import {keySpaceSize, type KnownMember, type Membership} from './membership.js';

/** A part of a range with the members that may lead it, in order of preference. */
export type Branch = {
	readonly range: KeyRange;
	readonly candidates: readonly KnownMember[];
};

/** Builds the range that covers a whole data centre. */
export function buildFullRange(dataCentre: string): KeyRange {
	return {dataCentre, low: 0, high: keySpaceSize};
}

/** Lists the members of a range that are alive, except those with the given identities. */
export function listMembersInRange(membership: Membership, range: KeyRange, excludedIds: readonly string[]): KnownMember[] {
	return membership.listAlive(range.dataCentre)
		.filter(known => known.key >= range.low && known.key < range.high && !excludedIds.includes(known.member.id));
}

/**
 * Splits a range into at most `fanout` branches. Splits by key rather than by number
 * of members, so that a member that joins or leaves changes only its own branch, and
 * connections stay in use.
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

/**
 * Orders the members that may lead a range by rendezvous hashing, the preferred one first.
 *
 * @param low Start of the range; it seeds the hash, so that ranges prefer different members.
 */
export function rankLeaders(members: readonly KnownMember[], low: number): KnownMember[] {
	const scored = members.map(known => ({known, score: hashText(known.member.id, low >>> 0)}));
	return scored.toSorted((left, right) => right.score - left.score).map(({known}) => known);
}

/** Estimates the number of tree levels that a request to this many members needs. */
export function countLevels(memberCount: number, fanout: number): number {
	return memberCount <= 1 ? 1 : 1 + Math.ceil(Math.log(memberCount) / Math.log(fanout));
}
