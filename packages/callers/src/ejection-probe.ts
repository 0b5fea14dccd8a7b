/** Asks the sidecars of ejected upstreams whether they respond again. */
import {type DecisionLog} from '@ebonylead/base/decision-log.js';
import {type Member} from '@ebonylead/peers/generated/peers.js';
import {type AttemptProbe} from './attempt-prober.js';

/** Tells whether a sidecar responds; each implementation has its own transport. */
export type EjectionProbe = {
	/** Asks a sidecar. The promise is never rejected. */
	isResponding(member: Member): Promise<boolean>;
};

/** No attempt has this identifier: the question is only whether there is a response. */
const noAttemptId = '';

/** Asks by the request that also asks for attempts. */
export class SidecarEjectionProbe implements EjectionProbe {
	readonly #probe: AttemptProbe;
	readonly #decisionLog: DecisionLog;

	constructor(probe: AttemptProbe, decisionLog: DecisionLog) {
		this.#probe = probe;
		this.#decisionLog = decisionLog;
	}

	async isResponding({id, host, meshPort, incarnation}: Member): Promise<boolean> {
		const [outcome] = await this.#probe.send(`http://${host}:${meshPort}`, [noAttemptId]);
		const isResponding = outcome!.kind === 'reported';
		this.#decisionLog.record(
			{
				asked: id, incarnation, outcome: outcome!.kind, reason: 'reason' in outcome! ? outcome.reason : undefined,
			},
			isResponding ? 'An ejected node responds again' : 'An ejected node still does not respond',
		);
		return isResponding;
	}
}
