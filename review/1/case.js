/** Late second copies of an upstream's refusals: do requests that may run once run twice, or count as not run though they have? */
import {fileURLToPath} from 'node:url';
import {setTimeout as sleep} from 'node:timers/promises';
import {runCase} from '../lib/deployment.js';
import {collectRequests, countAnswers} from '../lib/findings.js';

/** Doses, at most those of the site file: `srv_grey`, how "shed all", x 0.55 there; `garble`, how "extra late", share 0.6, x 0.03 for 5 s. */
const shedShare = 0.25;
const copiedShare = 0.03;
const faultMs = 5000;
const pauseMs = 2000;
const rounds = 7;
const requestIntervalMs = 8;

async function play(deployment, isTroubled) {
	await deployment.start([
		{service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'register', work: 60}, {service: 'desk'},
	], {
		routes: [{
			name: 'declare', prefix: '/declare/', kind: 'unsafe', service: 'register', timeout: 1.2, objective: 0.3, priority: 0,
		}],
	});
	const registers = deployment.machines.slice(0, 5);
	const desk = deployment.machines[5];
	const setTrouble = isOn => {
		deployment.note('trouble', {isOn});
		for (const [index, {upstream}] of registers.entries()) {
			upstream.shouldShed = () => isOn && Math.random() < shedShare;
			// Three of five upstreams send a second copy of 3 in 100 of their answers, late.
			upstream.shouldRepeat = () => isOn && index < 3 && Math.random() < copiedShare;
		}
	};

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
	for (let round = 0; round < rounds; round++) {
		setTrouble(isTroubled);
		await sleep(faultMs);
		setTrouble(false);
		await sleep(pauseMs);
	}

	over.abort();
	await sending;
	await Promise.all(answers);
	await sleep(500);
}

function judge(deployment) {
	const requests = collectRequests(deployment.lines);
	const twice = requests.filter(({runs}) => runs.length > 1).map(({id, runs, status, error}) => ({
		rule: 'TWICE', id, runs, status, error,
	}));
	const refused = requests.filter(({runs, status}) => runs.length > 0 && [408, 421, 429, 503].includes(status)).map(({id, runs, status}) => ({
		rule: 'REFUSED', id, runs, status,
	}));
	const copies = deployment.lines.filter(({what}) => what === 'late copy sent').length;
	return {
		breaches: [...twice, ...refused],
		summary: {
			requests: requests.length, answers: countAnswers(requests), lateCopies: copies, ranTwice: twice.length, refusedButRan: refused.length,
		},
	};
}

await runCase(fileURLToPath(new URL('.', import.meta.url)), {play, judge});
