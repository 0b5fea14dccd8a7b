/* eslint-disable camelcase -- The names of the users' pages. */
/** A route whose time-out is shorter than the mean request of its service is added while the service runs: none of its requests is served, although slots are free. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {parseRecord, sendSteadily} from '../lib-3/checks.js';
import {runCase} from '../lib-3/mesh.js';

/** Work of the requests on the first route, and of those on the added one; the time-out of the added one. */
const reportMs = 640;
const checkMs = 40;
const timeoutS = 0.5;

/** Time after the acknowledgement of the configuration from which on requests are counted, and for how long they are. */
const settleMs = 6000;
const countedMs = 15_000;
const minRequests = 20;
const firstRoute = '/shop/read/';
const addedRoute = '/shop/check/';

/** Lists the statuses of the requests on a route that were sent in a time. */
function listStatuses(mesh, route, from, to) {
	const events = parseRecord(mesh);
	const statuses = new Map(events.filter(({kind}) => kind === 'answered').map(({id, status}) => [id, status]));
	return events.filter(({kind, at, path: sentPath}) => kind === 'sent' && sentPath.startsWith(route) && at >= from && at < to).map(({id}) => statuses.get(id));
}

function computeServedShare(statuses) {
	return statuses.filter(status => status === '200').length / statuses.length;
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: () => ({workMs: request => request.url.startsWith(addedRoute) ? checkMs : reportMs})}, async (mesh, hasTrouble) => {
	await mesh.start(['shop', 'shop', 'shop', 'desk', 'desk', 'desk'], {zones: ['a', 'b', 'c']});
	const addRoute = () => {
		const [route] = mesh.listRoutes();
		mesh.routes = [...mesh.listRoutes(), {
			...route, name: 'shop-check', prefix: addedRoute, timeout_s: timeoutS, target_latency_s: 0.15,
		}];
		mesh.writeConfiguration();
		mesh.record.tell(`the route ${addedRoute} with a time-out of ${timeoutS} s is acknowledged`);
	};

	const callers = mesh.machines.slice(3);
	const stops = [];
	const startReports = () => stops.push(sendSteadily(mesh, callers, [`${firstRoute}season`], 200, {deadline: 8000}));
	const startChecks = () => stops.push(sendSteadily(mesh, callers, [`${addedRoute}plant`], 100, {deadline: timeoutS * 1000}));
	if (hasTrouble) {
		startReports();
		await sleep(5000);
		addRoute();
		await sleep(3000);
		startChecks();
	} else {
		// The same routes and requests, without a change of the configuration while the service runs.
		addRoute();
		await sleep(3000);
		startChecks();
		startReports();
		await sleep(5000);
	}

	await sleep(settleMs - 3000);
	const from = mesh.record.now;
	mesh.record.tell(`requests are counted from ${from} on`);
	await sleep(countedMs);
	for (const stop of stops) {
		stop();
	}

	await sleep(2000);
	const added = listStatuses(mesh, addedRoute, from, from + countedMs);
	const first = listStatuses(mesh, firstRoute, from, from + countedMs);
	const shares = {added: computeServedShare(added), first: computeServedShare(first)};
	return {
		isBroken: added.length >= minRequests && shares.added < shares.first / 4,
		text: `served in steady state: ${shares.added.toFixed(2)} of ${added.length} requests on the added route, ${shares.first.toFixed(2)} of ${first.length} on the first one`,
	};
});
