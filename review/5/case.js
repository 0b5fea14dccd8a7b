/** An upstream's leave is acknowledged while the store is down, and half of the nodes are killed before the store is back: does the upstream get requests again? */
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {bounds, runCase} from '../lib/deployment.js';
import {collectRequests, countAnswers} from '../lib/findings.js';

/** The site file has `platform_down`, how "busy", for 8 s, and `herd_kill` with a share of 0.55 and 2 s of downtime. */
const outageMs = 3000;
const untilLeaveMs = 500;
const untilKillMs = 300;
const downtimeMs = 1500;

/** How long the upstream serves on after its leave was acknowledged; the pages say `drain_s` and a little longer, at times many seconds. */
const servedOnMs = 10_000;
const requestIntervalMs = 16;

async function play(deployment, isTroubled) {
	await deployment.start([
		{service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'desk'},
	], {
		routes: [{
			name: 'declare', prefix: '/declare/', kind: 'unsafe', service: 'register', timeout: 1.2, objective: 0.3, priority: 0,
		}],
	});
	const [leaving] = deployment.machines;
	const desk = deployment.machines.at(-1);
	const answers = [];
	const over = new AbortController();
	const send = async () => {
		while (!over.signal.aborted) {
			answers.push(desk.client.send('/declare/lot', {method: 'PUT', body: 'weight=1200', deadline: 1200}));
			await sleep(requestIntervalMs);
		}
	};

	const sending = send();
	await sleep(1000);
	const outage = isTroubled ? breakStore(deployment) : undefined;
	await sleep(untilLeaveMs);
	const {id} = leaving.upstream;
	const isAcknowledged = await leaving.upstream.deregister();
	deployment.note('leave answered', {machine: leaving.name, upstream: id, isAcknowledged});
	const servedOn = sleep(servedOnMs);
	await sleep(untilKillMs);
	if (isTroubled) {
		await Promise.all([leaving, desk].map(async machine => machine.restartNode(downtimeMs)));
	}

	await outage;
	await servedOn;
	over.abort();
	await sending;
	await Promise.all(answers);
}

async function breakStore(deployment) {
	deployment.store.setMode('busy');
	deployment.note('store', {mode: 'busy'});
	await sleep(outageMs);
	deployment.store.setMode('up');
	deployment.note('store', {mode: 'up'});
}

/** Judges only requests that were sent when all machines were in touch: `stability_window_s` after the store and the last node were back. Those that get 421 don't count. */
function judge({lines}) {
	const leave = lines.find(({what}) => what === 'leave answered');
	const lastDisruption = Math.max(0, ...lines.filter(({what}) => what === 'node started' || what === 'store').map(({t}) => t));
	const inTouchFrom = lastDisruption + bounds.stability_window_s;
	const boundAt = leave.t + bounds.drain_s;
	const requests = collectRequests(lines);
	const sentAt = new Map(requests.map(request => [request.id, request.sentAt]));
	const misdirected = new Set(lines.filter(({what, upstream, status}) => what === 'refused by upstream' && upstream === leave.upstream && status === 421).map(({id}) => id));
	const late = lines.filter(({what, upstream, id, t}) => what === 'arrived' && upstream === leave.upstream && t > boundAt && !misdirected.has(id));
	const counted = late.filter(({id, t}) => t > inTouchFrom && sentAt.get(id) > inTouchFrom);
	return {
		breaches: leave.isAcknowledged ? counted.map(({id, t}) => ({rule: 'DRAIN', id, secondsAfterAcknowledgement: Number((t - leave.t).toFixed(3))})) : [],
		cannotJudge: leave.isAcknowledged ? undefined : 'the leave was not acknowledged',
		summary: {
			requests: requests.length, answers: countAnswers(requests), acknowledgedAt: leave.t, inTouchFrom, arrivedLate: late.length, arrivedLateInTouch: counted.length,
		},
	};
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), {play, judge});
