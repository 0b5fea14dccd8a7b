
/** What several cases send, and what they find in their records. */
import {detach} from './record.js';

const stabilityWindowMs = 3000;
const line = /^ *(?<at>\d+) (?<kind>\S+) ?(?<rest>.*)$/v;

/** Parses the lines of a record. */
export function parseRecord(mesh) {
	return mesh.record.lines.map(text => {
		const {at, kind, rest} = line.exec(text).groups;
		return {at: Number(at), kind, ...Object.fromEntries(rest.split(' ').map(part => part.split('=')))};
	});
}

/** Sends requests to machines in turn, one each interval, until the returned function is called. */
export function sendSteadily(mesh, machines, paths, intervalMs, options = {}) {
	let count = 0;
	const timer = setInterval(() => {
		const path = paths[count % paths.length];
		const machine = machines[Math.floor(count / paths.length) % machines.length];
		const isWrite = path.includes('/write/');
		count++;
		detach(mesh.send(machine, path, {...options, ...(isWrite && {method: 'POST', body: 'a declaration'})}));
	}, intervalMs);
	return () => {
		clearInterval(timer);
	};
}

/** Returns whether a machine had no signal, start or end of its node in the stability window before a time. */
export function isInTouch(events, machine, at) {
	return !events.some(event => event.machine === machine && ['signal', 'node-started', 'node-ended'].includes(event.kind) && event.at <= at && event.at > at - stabilityWindowMs);
}

/** Finds the runs at an upstream after a time, of requests that machines in touch took from the client and sent on. */
function findLateRuns(mesh, upstreamId, after) {
	const events = parseRecord(mesh);
	const sent = new Map(events.filter(({kind}) => kind === 'sent').map(event => [event.id, event]));
	return events.filter(({kind, upstream, at}) => kind === 'run' && upstream === upstreamId && at > after)
		.filter(({id, machine, at}) => isInTouch(events, machine, at) && isInTouch(events, sent.get(id).at_machine, at));
}

/** Judges by the rule DRAIN what reached an upstream after the acknowledgement of its leave. */
export function judgeLateRuns(mesh, upstreamId, acknowledgedAt, drainMs) {
	const late = findLateRuns(mesh, upstreamId, acknowledgedAt + drainMs);
	const last = late.length > 0 ? `, the last one at ${late.at(-1).at}` : '';
	return {
		isBroken: late.length > 0,
		text: `the leave of ${upstreamId} was acknowledged at ${acknowledgedAt}; ${late.length} requests of machines in touch reached it over ${drainMs} ms later${last}`,
	};
}
