/** Creates the attempts of calls: local ones at the upstream of this node, and remote ones at all others. */
import {LargeBody} from '@ebonylead/upstreams/large-body.js';
import {setAttemptHeaders} from './attempt-headers.js';
import {type Attempt, type CallAttempt} from './attempt.js';
import {type CallerListenerDependencies} from './callers.js';
import {LocalAttempt} from './local-attempt.js';
import {RemoteAttempt} from './remote-attempt.js';

/** Creates an attempt, which starts it. */
export function createAttempt(dependencies: CallerListenerDependencies, call: CallAttempt): Attempt {
	const {localSidecar} = dependencies;
	if (localSidecar?.id !== call.member.id) {
		return createRemoteAttempt(dependencies, call);
	}

	return new LocalAttempt(dependencies, localSidecar.sidecar, call);
}

function createRemoteAttempt(dependencies: CallerListenerDependencies, call: CallAttempt): Attempt {
	const {incoming, member, quarantine, body} = call;
	const headers = {...call.headers};
	// Copies of the whole call took more processor time than all else here.
	setAttemptHeaders(headers, {
		route: call.route,
		service: call.service,
		caller: call.caller,
		id: call.id,
		attempt: call.attempt,
		timeLeft: call.timeLeft,
		objectiveLeft: call.objectiveLeft,
		organisation: call.organisation,
		priority: call.priority,
		notice: dependencies.chooser.notices.encode(member.id),
		crashes: quarantine.encode(),
		crashDigest: dependencies.quarantine.digest,
		sent: dependencies.sendClock.createStamp(),
		origin: dependencies.origin,
		isRestHeldBack: body instanceof LargeBody,
		version: dependencies.activeVersion.version,
	});
	return new RemoteAttempt(dependencies, {
		id: call.id,
		member,
		method: incoming.method ?? 'GET',
		path: incoming.url ?? '/',
		headers,
		body,
		response: call.response,
		cancellation: call.cancellation,
		timeLeft: call.timeLeft,
		isForwardable: call.isForwardable,
		buildExtraHeaders: call.buildExtraHeaders,
		onForward: call.onForward,
	});
}
