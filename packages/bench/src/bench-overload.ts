/** Measures goodput under overload and fairness between callers. */
import {randomUUID} from 'node:crypto';
import {OperatorClient} from '@ebonylead/operators/operator-client.js';
import {Pool} from 'undici';
import {
	delay, Fleet, waitUntil, type Vm,
} from './fleet.js';
import {type FigureReport} from './figures.js';

/** Counts of the calls in a stream by outcome. */
type StreamResult = {
	readonly offered: number;
	readonly answered: number;
	readonly notRun: number;
};

const slots = 9;
const serviceTimeMs = 20;
const capacityPerSecond = slots * 1000 / serviceTimeMs;
const deadlineMs = 500;
const streamDurationMs = 4000;
const sendIntervalMs = 10;
const connections = 400;
const readyTimeoutMs = 20_000;

/** Bounds from issue 4: goodput stays flat from 1x to 4x the capacity, and a caller that floods the service does not starve the others. */
const minGoodputRatio = 0.9;
const minQuietAnsweredShare = 0.95;

const vms: readonly Vm[] = [
	{
		id: 'entry', dataCentre: 'a', region: 'r', service: '', slots, serviceTime: serviceTimeMs,
	},
	{
		id: 'beside', dataCentre: 'a', region: 'r', service: 's', slots, serviceTime: serviceTimeMs,
	},
];

/** Measures goodput at one, two and four times the capacity of an upstream, and then how many calls of a quiet caller are answered while another caller floods. */
export async function measureOverload(report: FigureReport): Promise<void> {
	const fleet = new Fleet({
		deployment: 'overload', vms, basePort: 26_600, logLevel: 'error',
	});
	try {
		await fleet.start();
		await fleet.waitUntilReady(vms.length, readyTimeoutMs);
		await submitRules(fleet);
		const url = `http://127.0.0.1:${fleet.getPorts(vms[0]!).callers}`;
		await waitUntil(async () => {
			const result = await sendCallStream(url, 'warm', 50, 500);
			return result.answered > 0;
		}, readyTimeoutMs);
		await sendCallStream(url, 'warm', capacityPerSecond, streamDurationMs);
		await reportGoodput(report, url);
		await reportFairness(report, url);
	} finally {
		await fleet.stop();
	}
}

async function reportGoodput(report: FigureReport, url: string): Promise<void> {
	const goodput = new Map<number, number>();
	for (const factor of [1, 2, 4]) {
		const result = await sendCallStream(url, 'caller', capacityPerSecond * factor, streamDurationMs);
		goodput.set(factor, result.answered / (streamDurationMs / 1000));
		report.add({name: `overload.${factor}x.goodput`, value: goodput.get(factor)!, unit: '1/s'});
		report.add({name: `overload.${factor}x.refused_as_not_run`, value: result.notRun / result.offered, unit: 'share'});
	}

	for (const factor of [2, 4]) {
		report.add({
			name: `overload.goodput_${factor}x_against_1x`,
			value: goodput.get(factor)! / goodput.get(1)!,
			unit: 'ratio',
			bound: minGoodputRatio,
			boundKind: 'least',
			boundFrom: 'issue 4: goodput stays flat from 1x to 4x the capacity',
		});
	}
}

async function reportFairness(report: FigureReport, url: string): Promise<void> {
	const [, quiet] = await Promise.all([sendCallStream(url, 'flood', capacityPerSecond * 3, streamDurationMs), sendCallStream(url, 'quiet', capacityPerSecond / 10, streamDurationMs)]);
	report.add({
		name: 'overload.quiet_caller_beside_flood.answered',
		value: quiet.answered / quiet.offered,
		unit: 'share',
		bound: minQuietAnsweredShare,
		boundKind: 'least',
		boundFrom: 'issue 4: a caller that floods does not starve the others',
	});
}

/** Sends calls at a fixed rate (open loop): a slow response delays no later call. */
async function sendCallStream(url: string, caller: string, ratePerSecond: number, durationMs: number): Promise<StreamResult> {
	const pool = new Pool(url, {connections, pipelining: 1});
	const result = {offered: 0, answered: 0, notRun: 0};
	const calls: Array<Promise<void>> = [];
	const startedAt = performance.now();
	while (performance.now() - startedAt < durationMs) {
		const dueCount = Math.floor((performance.now() - startedAt) * ratePerSecond / 1000);
		while (result.offered < dueCount) {
			result.offered++;
			calls.push(sendCall(pool, caller, result));
		}

		await delay(sendIntervalMs);
	}

	await Promise.all(calls);
	await pool.destroy();
	return result;
}

async function sendCall(pool: Pool, caller: string, result: {answered: number; notRun: number}): Promise<void> {
	try {
		const response = await pool.request({method: 'GET', path: '/x', headers: {host: 'a.example', 'x-ebonylead-caller': caller}});
		await response.body.dump();
		result.answered += Number(response.statusCode === 200);
		result.notRun += Number(response.headers['x-ebonylead-outcome'] === 'not-run');
	} catch {
		// A call without a response counts as neither answered nor refused.
	}
}

async function submitRules(fleet: Fleet): Promise<void> {
	const client = new OperatorClient(fleet.getOperatorUrl(vms[0]!));
	for await (const event of client.submit({
		submissionId: randomUUID(), submitter: 'bench', file: 'bench', text: `GET a.example/** -> s deadline ${deadlineMs}ms # Bench`, baseVersion: 0,
	})) {
		if (event.kind === 'finished') {
			return;
		}
	}
}
