/** Builds the reply of one node to a census. */
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {type CensusReply, type Member, type RouteCalls} from './generated/peers.js';

/** The values of a node that a census reads. */
export type CensusSources = {
	readonly activeVersion: ActiveVersion;

	/** Returns the bytes of control messages that this node sent and received. */
	readonly countControlBytes: () => number;

	/** Lists the fingerprints of quarantined requests. */
	readonly listQuarantined: () => string[];

	/** Lists the good and bad calls of each route that callers used on this node. */
	readonly listCalls: () => RouteCalls[];
};

/** Builds the reply of one node; with a lower version than expected, it names itself as a laggard. */
export function buildOwnCensus(self: Member, sources: CensusSources, expectedVersion: number, includeCalls: boolean): CensusReply {
	const {version} = sources.activeVersion;
	return {
		counts: [{dataCentre: self.dataCentre, version, count: 1}],
		laggards: version < expectedVersion ? [{id: self.id, version}] : [],
		unreached: [],
		controlBytes: sources.countControlBytes(),
		quarantined: sources.listQuarantined(),
		calls: includeCalls ? sources.listCalls() : [],
	};
}
