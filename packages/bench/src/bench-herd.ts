/** Measures the load on the other nodes when all nodes of a data centre fail together and restart together (a thundering herd). */
import {randomUUID} from 'node:crypto';
import {OperatorClient} from '@ebonylead/operators/operator-client.js';
import {
	delay, Fleet, waitUntil, type Vm,
} from './fleet.js';
import {type FigureReport} from './figures.js';

const nodeCount = 60;
const dataCentreCount = 3;
const readyTimeoutMs = 60_000;
const steadyDurationMs = 5000;
const pollIntervalMs = 250;

/** Bound of the capacity target (docs/CAPACITY.md): a version is active on all nodes within 6 s, also while a data centre fails. */
const maxConvergenceMs = 6000;

/** Bound of the capacity target: 4% of a core for control on a node, also while a data centre restarts. */
const maxCpuCores = 0.04;

const vms: readonly Vm[] = Array.from({length: nodeCount}, (_, index) => ({
	id: `node-${index}`, dataCentre: `dc-${index % dataCentreCount}`, region: 'r', service: '', slots: 9, serviceTime: 1,
}));
const failedVms = vms.filter(vm => vm.dataCentre === 'dc-0');
const survivingVms = vms.filter(vm => vm.dataCentre !== 'dc-0');

/** Measures the failure and the restart of one of three data centres. */
export async function measureHerd(report: FigureReport): Promise<void> {
	const fleet = new Fleet({
		deployment: 'herd', vms, basePort: 27_500, isNodesOnly: true, logLevel: 'error',
	});
	try {
		await fleet.start();
		await fleet.waitUntilReady(nodeCount, readyTimeoutMs);
		await submitAndMeasureConvergence(fleet, 0);
		await delay(steadyDurationMs);
		const steadyCpu = await measureCpu(fleet, async () => delay(steadyDurationMs));
		await killDataCentre(report, fleet);
		const restartCpu = await measureCpu(fleet, async () => restartDataCentre(report, fleet));
		report.add({name: 'herd.survivor_cpu_steady', value: steadyCpu, unit: 'cores'});
		report.add({
			name: 'herd.survivor_cpu_in_storm', value: restartCpu, unit: 'cores', bound: maxCpuCores, boundFrom: 'capacity target',
		});
	} finally {
		await fleet.stop();
	}
}

async function killDataCentre(report: FigureReport, fleet: Fleet): Promise<void> {
	for (const vm of failedVms) {
		fleet.signal(`node ${vm.id}`, 'SIGKILL');
	}

	const startedAt = performance.now();
	const elapsed = await submitAndMeasureConvergence(fleet, 1);
	report.add({
		name: 'herd.convergence_on_survivors_at_the_loss', value: elapsed, unit: 'ms', bound: maxConvergenceMs, boundFrom: 'capacity target',
	});
	await waitForMembers(fleet, survivingVms.length);
	report.add({name: 'herd.all_deaths_known', value: performance.now() - startedAt, unit: 'ms'});
}

async function restartDataCentre(report: FigureReport, fleet: Fleet): Promise<void> {
	const startedAt = performance.now();
	for (const vm of failedVms) {
		fleet.startNode(vm);
	}

	await fleet.waitUntilReady(nodeCount, readyTimeoutMs);
	report.add({name: 'herd.all_back_and_known', value: performance.now() - startedAt, unit: 'ms'});
	const versions = await readVersions(fleet, vms);
	report.add({
		name: 'herd.nodes_under_an_older_version', value: versions.filter(version => version < 2).length, unit: 'nodes', bound: 0, boundFrom: 'requirement: no node returns to an older version',
	});
}

/** Submits a version, and returns how long after its acceptance it was active on all surviving nodes, in milliseconds. */
async function submitAndMeasureConvergence(fleet: Fleet, baseVersion: number): Promise<number> {
	const client = new OperatorClient(fleet.getOperatorUrl(survivingVms[0]!));
	let startedAt = performance.now();
	for await (const event of client.submit({
		submissionId: randomUUID(), submitter: 'bench', file: 'bench', text: `GET a.example/** -> s deadline ${1000 + baseVersion}ms # Bench`, baseVersion,
	})) {
		if (event.kind === 'accepted') {
			startedAt = performance.now();
			await waitUntil(async () => {
				const versions = await readVersions(fleet, survivingVms);
				return versions.every(version => version > baseVersion);
			}, readyTimeoutMs);
			return performance.now() - startedAt;
		}
	}

	throw new Error('the submission was not accepted');
}

async function waitForMembers(fleet: Fleet, count: number): Promise<void> {
	await waitUntil(async () => {
		const metrics = await Promise.all(survivingVms.map(async vm => fleet.readMetrics(vm)));
		return metrics.every(values => values.get('ebonylead_members') === count);
	}, readyTimeoutMs, pollIntervalMs);
}

async function readVersions(fleet: Fleet, queriedVms: readonly Vm[]): Promise<number[]> {
	const metrics = await Promise.all(queriedVms.map(async vm => fleet.readMetrics(vm)));
	return metrics.map(values => values.get('ebonylead_version') ?? 0);
}

/** Measures the mean processor use of a surviving node, in cores, while an action runs. */
async function measureCpu(fleet: Fleet, action: () => Promise<void>): Promise<number> {
	const read = async () => {
		const metrics = await Promise.all(survivingVms.map(async vm => fleet.readMetrics(vm)));
		return metrics.reduce((sum, values) => sum + (values.get('process_cpu_seconds_total') ?? 0), 0);
	};

	const before = await read();
	const startedAt = performance.now();
	await action();
	const after = await read();
	return (after - before) / ((performance.now() - startedAt) / 1000) / survivingVms.length;
}
