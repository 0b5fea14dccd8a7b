/** What one node contributes to a census. */
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {type CensusReply, type Member, type RouteCalls} from './generated/peers.js';

/** What the census reads of a node. */
export type CensusSources = {
	readonly applied: AppliedVersion;

	/** Returns the bytes that this node carried for control. */
	readonly countControlBytes: () => number;

	/** Returns the fingerprints of the requests that run no more. */
	readonly listQuarantined: () => string[];

	/** Returns the good and bad calls of the routes that callers used on this node. */
	readonly listCalls: () => RouteCalls[];
};

/** Builds the contribution of one node. */
export function buildOwnCensus(self: Member, sources: CensusSources, expectedVersion: number, includeCalls: boolean): CensusReply {
	const {version} = sources.applied;
	return {
		counts: [{dataCentre: self.dataCentre, version, count: 1}],
		laggards: version < expectedVersion ? [{id: self.id, version}] : [],
		unreached: [],
		controlBytes: sources.countControlBytes(),
		quarantined: sources.listQuarantined(),
		calls: includeCalls ? sources.listCalls() : [],
	};
}
