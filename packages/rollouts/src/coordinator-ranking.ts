/** Ranks the members that may coordinate the roll-out of a service. */
import {hashText} from '@ebonylead/base/hash.js';
import {MemberState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type Membership} from '@ebonylead/peers/membership.js';

/** Lists the members that are alive in the order in which they coordinate a service: those with the widest links first, as they also have the most processor time, then by rendezvous hash. */
export function rankCoordinators(membership: Membership, service: string): Member[] {
	const rank = (member: Member) => hashText(`rollout ${service} ${member.id}`);
	return membership.listAll()
		.filter(member => member.state === MemberState.ALIVE)
		.toSorted((left, right) => (right.linkRate ?? 0) - (left.linkRate ?? 0) || rank(left) - rank(right));
}
