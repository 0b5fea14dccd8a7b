/* eslint-disable camelcase -- The names of the users' pages. */
/** The node that keeps the quotas stands still while a tenant sends more than its limit: the other nodes go on admitting its requests. */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {detach} from '../lib-3/record.js';
import {parseRecord} from '../lib-3/checks.js';
import {runCase} from '../lib-3/mesh.js';

const rate = 20;
const burst = 20;
const windowS = 5;
const over = 0.1;
const slack = 20;
const allowed = (((rate * windowS) + burst) * (1 + over)) + slack;

/** The tenant's usual rate, of which its limit is 1.6 times, and how many times as much it sends while it is hot. */
const usualPerS = rate / 1.6;
const hotFactor = 7.5;
const hotMs = 6500;
const frozenMs = 5000;

/** Finds the machine to which all nodes report, by their logs; undefined while there is none. */
function findHome(mesh) {
	const homes = mesh.logs.map(text => /"home":"(?<name>[^"]+)".*Reporting to a quota home/v.exec(text)?.groups.name).filter(Boolean);
	return mesh.machines.find(({name}) => name === homes.at(-1));
}

/** Counts the requests that were both sent and run in one window, for the window that has most; a request that ran again counts once. */
function countMost(events) {
	const sentAt = new Map(events.filter(({kind}) => kind === 'sent').map(({id, at}) => [id, at]));
	const runAt = new Map(events.filter(({kind, tenant}) => kind === 'run' && tenant === 'acme').toReversed().map(({id, at}) => [id, at]));
	const requests = Array.from(runAt, ([id, at]) => ({sent: sentAt.get(id), run: at}));
	return Math.max(0, ...requests.map(({sent: start}) => requests.filter(({sent, run}) => sent >= start && run < start + (windowS * 1000)).length));
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), {upstreamOptions: () => ({slots: 40, workMs: () => 5})}, async (mesh, hasTrouble) => {
	mesh.contracts = ['tenants', 'quota'];
	mesh.bounds = {
		quota_window_s: windowS, quota_over: over, quota_slack: slack, revoke_strict: false, revoke_s: 5,
	};
	mesh.tenants = {columns: ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'], rows: [['acme', ['k-acme'], null, rate, burst], ['other', ['k-other'], null, 0, 0]]};
	await mesh.start(['shop', 'shop', 'shop', 'shop', 'shop', 'desk', 'desk', 'desk', 'desk', 'desk'], {zones: ['a', 'b', 'c']});
	let perSecond = usualPerS;
	const ending = new AbortController();
	const sending = (async () => {
		for (let count = 0; !ending.signal.aborted; count++) {
			const serving = mesh.machines.filter(machine => !machine.isFrozen);
			detach(mesh.send(serving[count % serving.length], '/shop/read/x', {headers: {'x-api-key': 'k-acme'}, deadline: 2000}));
			await sleep(1000 / perSecond);
		}
	})();
	await sleep(6000);
	const home = findHome(mesh);
	if (home === undefined) {
		throw new Error('no quota home was found');
	}

	if (hasTrouble) {
		mesh.record.tell(`${home.name} stands still for ${frozenMs} ms`);
		home.isFrozen = true;
		home.signal('SIGSTOP');
		setTimeout(() => {
			home.signal('SIGCONT');
			home.isFrozen = false;
		}, frozenMs);
	}

	mesh.record.tell(`the tenant sends ${hotFactor} times its usual`);
	perSecond = usualPerS * hotFactor;
	await sleep(hotMs);
	perSecond = usualPerS;
	await sleep(4000);
	ending.abort();
	await sending;
	const most = countMost(parseRecord(mesh));
	return {isBroken: most > allowed, text: `at most ${most} requests of the tenant ran in ${windowS} s; ${allowed} are allowed`};
});
