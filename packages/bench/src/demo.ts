/**
 * `npm run demo`: runs both deployments as real processes under a constant load,
 * through rule changes and failures, and checks the guarantees of the mesh. Exits by
 * itself after the last step.
 */
import {randomUUID} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {SeededRandom} from '@ebonylead/base/random.js';
import {renderBurnPage} from '@ebonylead/operators/burn-report.js';
import {OperatorClient} from '@ebonylead/operators/operator-client.js';
import {type SubmitEvent} from '@ebonylead/operators/operators.js';
import {request} from 'undici';
import {crownStock, yieldAnnex, type Deployment} from './deployments.js';
import {
	delay, Fleet, waitUntil, type Vm,
} from './fleet.js';
import {
	LoadGenerator, readRuns, summarizeLoad, type CallTemplate, type LoadSummary,
} from './load-generator.js';
import {formatTable} from './table.js';
import {VersionMonitor} from './version-monitor.js';

/** Call templates by deployment; the weights follow the traffic that the user organisations described. */
const templatesByDeployment: Readonly<Record<string, readonly CallTemplate[]>> = {
	'yield-annex': [
		{
			method: 'GET', host: 'yield.example', path: '/lots/*', weight: 60,
		},
		{
			method: 'GET', host: 'yield.example', path: '/history/*', weight: 10,
		},
		{
			method: 'POST', host: 'yield.example', path: '/declarations', weight: 25,
		},
		{
			method: 'POST', host: 'yield.example', path: '/corrections', weight: 5,
		},
	],
	'crown-stock': [
		{
			method: 'GET', host: 'stock.example', path: '/pantry/*', weight: 65,
		},
		{
			method: 'POST', host: 'stock.example', path: '/restocks', weight: 20,
		},
		{
			method: 'POST', host: 'stock.example', path: '/write-offs', weight: 15,
		},
	],
};

const callersPerDeployment = 16;
const thinkTimeMs = 40;
const dataCentreLatencyMs = 1;
const readyTimeoutMs = 20_000;
const drainNoticeMs = 2000;
const outageDurationMs = 3000;
const pauseDurationMs = 9000;

/** Bound of the capacity target (docs/CAPACITY.md). */
const maxConvergenceMs = 6000;

/** Bound of the capacity target for control on each node. */
const maxControlBytesPerSecond = 9 * 1024;
const program = process.env.EBONYLEAD_PROGRAM?.split(' ');

/** Results of the demo on one deployment. */
type DeploymentResult = {
	readonly name: string;

	/** Convergence times in milliseconds, one for each measured submission. */
	readonly convergenceTimes: readonly number[];

	/** Mean over the nodes. */
	readonly controlBytesPerSecond: number;
	readonly summary: LoadSummary;

	/** Descriptions of the failed checks. */
	readonly faults: readonly string[];
};

/** Runs the steps of the demo on one deployment. */
class DemoRun {
	readonly #deployment: Deployment;
	readonly #fleet: Fleet;
	readonly #load: LoadGenerator;
	readonly #monitor: VersionMonitor;
	readonly #convergenceTimes: number[] = [];
	readonly #faults: string[] = [];
	readonly #ruleText: string;

	constructor(deployment: Deployment, basePort: number, relayHost: string) {
		this.#deployment = deployment;
		this.#ruleText = readFileSync(deployment.ruleFile, 'utf8');
		this.#fleet = new Fleet({
			deployment: deployment.name,
			vms: deployment.vms,
			basePort,
			relayHost,
			relayDelayMs: dataCentreLatencyMs,
			program,
			spreading: deployment.name === 'crown-stock' ? 'bytes' : 'convergence',
		});
		this.#load = new LoadGenerator({
			entryUrls: deployment.vms.map(vm => `http://127.0.0.1:${this.#fleet.getPorts(vm).callers}`),
			templates: templatesByDeployment[deployment.name]!,
			callers: callersPerDeployment,
			thinkTimeMs,
			latency: deployment.callerLatency,
			random: new SeededRandom(basePort),
		});
		this.#monitor = new VersionMonitor(this.#fleet);
	}

	async run(): Promise<DeploymentResult> {
		try {
			return await this.#runSteps();
		} finally {
			await this.#fleet.stop();
		}
	}

	async #runSteps(): Promise<DeploymentResult> {
		const {vms} = this.#deployment;
		await this.#fleet.start();
		await this.#fleet.waitUntilReady(vms.length, readyTimeoutMs);
		this.#writeProgress('all nodes are ready');
		await this.#submitAndExpectConvergence('first rules', this.#ruleText);
		this.#monitor.start();
		this.#load.start();
		const startedAt = performance.now();
		const bytesBefore = await this.#readControlBytes();
		await this.#changeRules();
		await this.#drainUpstream();
		await this.#killAndReplaceNode();
		await this.#stopNodeGracefully();
		await this.#submitConcurrently();
		await this.#pauseNode();
		await this.#injectPlatformOutage();
		await this.#load.stop();
		await this.#writeReport();
		this.#monitor.stop();
		const controlBytesPerSecond = (await this.#readControlBytes() - bytesBefore) / (performance.now() - startedAt) * 1000 / vms.length;
		const summary = summarizeLoad(this.#load.records, readRuns(this.#fleet.runLogFile));
		this.#validateResults(summary, controlBytesPerSecond);
		return {
			name: this.#deployment.name, convergenceTimes: this.#convergenceTimes, controlBytesPerSecond, summary, faults: [...this.#faults, ...this.#monitor.faults],
		};
	}

	async #changeRules(): Promise<void> {
		for (const round of [1, 2, 3]) {
			await delay(500);
			await this.#submitAndExpectConvergence(`rule changed under load, round ${round}`, this.#ruleText.replaceAll('deadline 800ms', `deadline ${800 + round}ms`));
		}
	}

	async #drainUpstream(): Promise<void> {
		const vm = this.#deployment.vms[1]!;
		const announcedAt = Date.now();
		this.#fleet.signal(`upstream ${vm.id}`, 'SIGTERM');
		await this.#fleet.waitForExit(`upstream ${vm.id}`);
		const late = readRuns(this.#fleet.runLogFile).filter(run => run.upstream === vm.id && run.startedAt > announcedAt + drainNoticeMs);
		this.#writeProgress(`upstream ${vm.id} drained, ${late.length} calls reached it after ${drainNoticeMs} ms`);
		this.#expect(late.length === 0, `${late.length} calls reached a draining upstream after ${drainNoticeMs} ms`);
		this.#fleet.startUpstream(vm);
	}

	async #killAndReplaceNode(): Promise<void> {
		const vm = this.#deployment.vms[2]!;
		this.#fleet.signal(`node ${vm.id}`, 'SIGKILL');
		this.#writeProgress(`node ${vm.id} killed`);
		await delay(1000);
		this.#fleet.startNode(vm);
		const startedAt = performance.now();
		await this.#fleet.waitUntilReady(this.#deployment.vms.length, readyTimeoutMs);
		this.#writeProgress(`node ${vm.id} restarted; it was ready and known to all members after ${Math.round(performance.now() - startedAt)} ms`);
	}

	async #stopNodeGracefully(): Promise<void> {
		const vm = this.#deployment.vms[4]!;
		this.#fleet.signal(`node ${vm.id}`, 'SIGTERM');
		const code = await this.#fleet.waitForExit(`node ${vm.id}`);
		this.#writeProgress(`node ${vm.id} stopped with exit code ${code}`);
		this.#expect(code === 0, `the planned stop of ${vm.id} ended with exit code ${code}`);
		this.#fleet.startNode(vm);
		await this.#fleet.waitUntilReady(this.#deployment.vms.length, readyTimeoutMs);
	}

	/** Submits concurrent edits of two operators: edits of different lines are merged, of two edits of the same line one is a conflict. */
	async #submitConcurrently(): Promise<void> {
		const [left, right] = [this.#deployment.vms[0]!, this.#deployment.vms[3]!];
		const firstEdit = this.#ruleText.replace(/deadline 2s/v, 'deadline 2100ms');
		const secondEdit = `${this.#ruleText}GET race.example/** -> ${left.service} # Demo: a second operator\n`;
		const baseVersion = await this.#fetchBaseVersion(left);
		const merged = await Promise.all([this.#submit(left, firstEdit, baseVersion), this.#submit(right, secondEdit, baseVersion)]);
		this.#expect(merged.every(events => events.at(-1)?.kind === 'finished'), 'two edits of different lines were not both accepted');
		const conflictBase = await this.#fetchBaseVersion(left);
		const conflicting = await Promise.all(['2200ms', '2300ms'].map(async (deadline, index) =>
			this.#submit(index === 0 ? left : right, firstEdit.replace('2100ms', deadline), conflictBase)));
		const kinds = conflicting.map(events => events.at(-1)?.kind ?? '').toSorted();
		this.#writeProgress(`concurrent edits of two operators: different lines ended as ${merged.map(events => events.at(-1)?.kind).join(' and ')}, the same line as ${kinds.join(' and ')}`);
		this.#expect(kinds.join(' ') === 'conflict finished', `two edits of one line ended as ${kinds.join(' and ')}`);
	}

	/** Pauses a node for longer than every timeout; once resumed, it must not serve calls by the rules from before the pause. */
	async #pauseNode(): Promise<void> {
		const vm = this.#deployment.vms[5]!;
		this.#fleet.signal(`node ${vm.id}`, 'SIGSTOP');
		await delay(pauseDurationMs);
		const events = await this.#submit(this.#deployment.vms[0]!, this.#ruleText);
		const version = events.find(event => event.kind === 'accepted')?.version ?? Number.NaN;
		this.#fleet.signal(`node ${vm.id}`, 'SIGCONT');
		const served = await this.#readServedVersion(vm);
		this.#writeProgress(`node ${vm.id} paused for ${pauseDurationMs} ms; version ${version} was accepted meanwhile, the node's first response used version ${served}`);
		this.#expect(served >= version, `a resumed node served version ${served}, not ${version}`);
		await this.#fleet.waitUntilReady(this.#deployment.vms.length, readyTimeoutMs);
	}

	/** Calls a node until it responds with a version header, and returns that version. */
	async #readServedVersion(vm: Vm): Promise<number> {
		const template = templatesByDeployment[this.#deployment.name]![0]!;
		let version = Number.NaN;
		await waitUntil(async () => {
			const response = await request(`http://127.0.0.1:${this.#fleet.getPorts(vm).callers}${template.path.replace('*', '1')}`, {headers: {host: template.host}});
			await response.body.dump();
			version = Number(response.headers['x-ebonylead-version'] ?? Number.NaN);
			return !Number.isNaN(version);
		}, readyTimeoutMs);
		return version;
	}

	async #injectPlatformOutage(): Promise<void> {
		await this.#fleet.setPlatformFaults({isDown: true});
		const refused = await this.#submit(this.#deployment.vms[0]!, this.#ruleText);
		this.#expect(refused.at(-1)?.kind === 'refused', `a submission during the outage ended as ${refused.at(-1)?.kind}`);
		await delay(outageDurationMs);
		await this.#fleet.setPlatformFaults({isDown: false});
		this.#writeProgress(`platform was down for ${outageDurationMs} ms; a submission meanwhile was refused`);
		await this.#submitAndExpectConvergence('rules after the outage', this.#ruleText);
	}

	async #writeReport(): Promise<void> {
		const report = await new OperatorClient(this.#fleet.getOperatorUrl(this.#deployment.vms[0]!)).fetchReport();
		const file = `dist/report-${this.#deployment.name}.html`;
		writeFileSync(file, renderBurnPage(report));
		this.#writeProgress(`burn report of ${report.rows.length} routes written to ${file}`);
	}

	async #submitAndExpectConvergence(title: string, text: string): Promise<void> {
		const events = await this.#submit(this.#deployment.vms[0]!, text);
		const last = events.at(-1);
		if (last?.kind !== 'finished') {
			this.#faults.push(`${title}: ended as ${JSON.stringify(last)}`);
			return;
		}

		this.#convergenceTimes.push(last.elapsed);
		this.#writeProgress(`${title}: version ${last.version} active on ${last.inForce} of ${last.members} nodes after ${last.elapsed} ms`);
		this.#expect(last.inForce === last.members && last.elapsed < maxConvergenceMs, `${title}: ${last.inForce} of ${last.members} nodes after ${last.elapsed} ms`);
	}

	/** Fetches the active version of a node, as the base of an edit. */
	async #fetchBaseVersion(vm: Vm): Promise<number> {
		const rules = await new OperatorClient(this.#fleet.getOperatorUrl(vm)).fetchRules();
		return Number(/base version (\d+)/v.exec(rules)?.[1]);
	}

	async #submit(vm: Vm, text: string, knownBaseVersion?: number): Promise<SubmitEvent[]> {
		const client = new OperatorClient(this.#fleet.getOperatorUrl(vm));
		const baseVersion = knownBaseVersion ?? await this.#fetchBaseVersion(vm);
		const events: SubmitEvent[] = [];
		for await (const event of client.submit({
			submissionId: randomUUID(), submitter: 'demo', file: this.#deployment.ruleFile, text, baseVersion,
		})) {
			events.push(event);
		}

		return events;
	}

	async #readControlBytes(): Promise<number> {
		const all = await Promise.all(this.#deployment.vms.map(async vm => this.#fleet.readMetrics(vm)));
		return all.reduce((sum, metrics) => sum + (metrics.get('ebonylead_control_bytes') ?? 0), 0);
	}

	#validateResults(summary: LoadSummary, controlBytesPerSecond: number): void {
		for (const key of ['wrong', 'cut', 'lost', 'duplicated', 'falseRefusals'] as const) {
			this.#expect(summary[key] === 0, `${summary[key]} calls counted as ${key}`);
		}

		this.#expect(summary.answered > summary.calls * 0.9, `only ${summary.answered} of ${summary.calls} calls were answered`);
		this.#expect(controlBytesPerSecond < maxControlBytesPerSecond, `${Math.round(controlBytesPerSecond)} control bytes per second on a node`);
	}

	#expect(isMet: boolean, fault: string): void {
		if (!isMet) {
			this.#faults.push(fault);
		}
	}

	#writeProgress(text: string): void {
		process.stdout.write(`${(performance.now() / 1000).toFixed(1).padStart(5)} s  ${this.#deployment.name}: ${text}\n`);
	}
}

async function runDemo(): Promise<void> {
	// Waits for both runs even if one fails, so that each stops its processes.
	const settled = await Promise.allSettled([
		new DemoRun(yieldAnnex, 21_000, '127.0.1.1').run(),
		new DemoRun(crownStock, 22_000, '127.0.1.2').run(),
	]);
	const failure = settled.find(result => result.status === 'rejected');
	if (failure) {
		throw failure.reason as Error;
	}

	const results = settled.filter(result => result.status === 'fulfilled').map(result => result.value);
	process.stdout.write(`\n${formatResults(results)}\n`);
	const faults = results.flatMap(result => result.faults.map(fault => `${result.name}: ${fault}`));
	process.stdout.write(faults.length === 0 ? 'All checks passed.\n' : `Failed checks:\n${faults.map(fault => `  ${fault}`).join('\n')}\n`);
	process.exitCode = faults.length === 0 ? 0 : 1;
}

function formatResults(results: readonly DeploymentResult[]): string {
	const rows: ReadonlyArray<readonly [string, (result: DeploymentResult) => string]> = [
		['convergence time, maximum (ms)', result => String(Math.max(...result.convergenceTimes))],
		['convergence time, median (ms)', result => String(result.convergenceTimes.toSorted((left, right) => left - right)[Math.floor(result.convergenceTimes.length / 2)])],
		['control bytes per node and second', result => String(Math.round(result.controlBytesPerSecond))],
		['calls', result => String(result.summary.calls)],
		['answered', result => String(result.summary.answered)],
		['refused, not run', result => String(result.summary.notRun)],
		['outcome unknown', result => String(result.summary.unknown)],
		['wrong response', result => String(result.summary.wrong)],
		['response cut off', result => String(result.summary.cut)],
		['lost', result => String(result.summary.lost)],
		['duplicated', result => String(result.summary.duplicated)],
		['refused as not run, but ran', result => String(result.summary.falseRefusals)],
	];
	return formatTable([['', ...results.map(result => result.name)], ...rows.map(([title, read]) => [title, ...results.map(result => read(result))])]);
}

void runDemo();
