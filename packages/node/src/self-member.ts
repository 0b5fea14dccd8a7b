/** Builds the record of a node at its start. */
import {type Random} from '@ebonylead/base/base.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {type MeshNodeSettings} from './mesh-node-settings.js';

/** Exclusive upper bound of the random `instance` of a member: an unsigned 32-bit number, as in the messages between peers. */
const instanceLimit = 0x1_00_00_00_00;

/** Builds the record of a node that knows no upstream yet. */
export function buildSelf({id, dataCentre, region, host, meshPort, linkRate}: MeshNodeSettings, random: Random): Member {
	return {
		id,
		incarnation: 0,
		dataCentre,
		region,
		host,
		peerPort: meshPort,
		meshPort,
		state: MemberState.ALIVE,
		service: '',
		upstreamState: UpstreamState.ABSENT,
		slots: 0,
		instance: Math.floor(random.next() * instanceLimit),
		linkRate,
	};
}
