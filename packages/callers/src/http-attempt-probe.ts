/** Sends probes over HTTP. */
import {describeError} from '@ebonylead/base/errors.js';
import {attemptProbeService, formatProbePath, parseProbeResponse} from '@ebonylead/upstreams/attempt-probe.js';
import {meshHeaders} from '@ebonylead/upstreams/upstreams.js';
import {Client} from 'undici';
import {type AttemptProbe} from './attempt-prober.js';
import {type ProbeOutcome} from './attempt-verdict.js';

/** Timeout of a probe in milliseconds, with the time to connect. */
const probeTimeoutMs = 500;
const connectTimeoutMs = 300;

/** Maximum size of a response in bytes: about twice that for the maximum number of attempts. */
const maxResponseBytes = 16 * 1024;
const statusOk = 200;
const unreachableCodes = new Set<string | undefined>(['EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'UND_ERR_CONNECT_TIMEOUT']);

/** Opens a connection for each probe: that of a silent attempt may have been lost without a notice. */
export class HttpAttemptProbe implements AttemptProbe {
	async send(origin: string, ids: readonly string[]): Promise<readonly ProbeOutcome[]> {
		const client = new Client(origin, {connect: {timeout: connectTimeoutMs}, maxResponseSize: maxResponseBytes});
		try {
			const response = await client.request({
				method: 'GET', path: formatProbePath(ids), headers: {[meshHeaders.service]: attemptProbeService}, signal: AbortSignal.timeout(probeTimeoutMs),
			});
			const text = await response.body.text();
			if (response.statusCode !== statusOk) {
				return ids.map(() => ({kind: 'unanswered', reason: `status ${response.statusCode}`}));
			}

			return parseProbeResponse(text, ids.length).caseOf<readonly ProbeOutcome[]>({
				Left: reason => ids.map(() => ({kind: 'unanswered', reason})),
				Right: ({knownFor, states}) => states.map(state => ({kind: 'reported', state, knownFor})),
			});
		} catch (error) {
			const outcome = buildFailure(error);
			return ids.map(() => outcome);
		} finally {
			void client.destroy();
		}
	}
}

function buildFailure(error: unknown): ProbeOutcome {
	const reason = describeError(error);
	const {code} = error as NodeJS.ErrnoException;
	if (code === 'ECONNREFUSED') {
		return {kind: 'refused', reason};
	}

	return {kind: unreachableCodes.has(code) ? 'unreachable' : 'unanswered', reason};
}
