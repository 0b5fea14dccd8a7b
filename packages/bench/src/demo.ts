/**
 * `npm run demo`: both deployments as real processes, with callers all the
 * while, through changes of rules and through failures. Ends by itself.
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
	delay, Fleet, waitUntil, type Place,
} from './fleet.js';
import {
	Load, readRuns, summarizeLoad, type CallShape, type LoadSummary,
} from './load.js';
import {formatTable} from './table.js';
import {VersionWatch} from './version-watch.js';

/** Calls of the demo's callers; the shares follow the users' words. */
const shapes: Readonly<Record<string, readonly CallShape[]>> = {
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
const thinkTime = 40;
const dataCentreLatency = 1;
const readyTimeout = 20_000;
const drainNotice = 2000;
const outageTime = 3000;
const freezeTime = 9000;

/** Limit of the convergence time in milliseconds, from the target. */
const convergenceLimit = 6000;

/** Limit of the control bytes of a node in bytes a second, from the target. */
const controlLimit = 9 * 1024;
const program = process.env.EBONYLEAD_PROGRAM?.split(' ');

type DeploymentResult = {
	readonly name: string;
	readonly convergences: readonly number[];
	readonly controlRate: number;
	readonly summary: LoadSummary;
	readonly faults: readonly string[];
};

/** Runs one deployment through the demo. */
class DemoRun {
	readonly #deployment: Deployment;
	readonly #fleet: Fleet;
	readonly #load: Load;
	readonly #watch: VersionWatch;
	readonly #convergences: number[] = [];
	readonly #faults: string[] = [];
	readonly #text: string;

	constructor(deployment: Deployment, basePort: number, relayHost: string) {
		this.#deployment = deployment;
		this.#text = readFileSync(deployment.ruleFile, 'utf8');
		this.#fleet = new Fleet({
			deployment: deployment.name,
			places: deployment.places,
			basePort,
			relayHost,
			delay: dataCentreLatency,
			program,
			spreading: deployment.name === 'crown-stock' ? 'bytes' : 'convergence',
		});
		this.#load = new Load({
			entries: deployment.places.map(place => `http://127.0.0.1:${this.#fleet.getPorts(place).callers}`),
			shapes: shapes[deployment.name]!,
			callers: callersPerDeployment,
			thinkTime,
			latency: deployment.clientLatency,
			random: new SeededRandom(basePort),
		});
		this.#watch = new VersionWatch(this.#fleet);
	}

	async run(): Promise<DeploymentResult> {
		try {
			return await this.#runSteps();
		} finally {
			await this.#fleet.stop();
		}
	}

	async #runSteps(): Promise<DeploymentResult> {
		const {places} = this.#deployment;
		await this.#fleet.start();
		await this.#fleet.waitUntilReady(places.length, readyTimeout);
		this.#say('all nodes serve');
		await this.#submit('first rules', this.#text);
		this.#watch.start();
		this.#load.start();
		const startedAt = performance.now();
		const bytesBefore = await this.#readControlBytes();
		await this.#changeRules();
		await this.#drainUpstream();
		await this.#killAndReplaceNode();
		await this.#stopNodeGracefully();
		await this.#raceOperators();
		await this.#freezeNode();
		await this.#failPlatform();
		await this.#load.stop();
		await this.#writeReport();
		this.#watch.stop();
		const controlRate = (await this.#readControlBytes() - bytesBefore) / (performance.now() - startedAt) * 1000 / places.length;
		const summary = summarizeLoad(this.#load.records, readRuns(this.#fleet.runLogFile));
		this.#judge(summary, controlRate);
		return {
			name: this.#deployment.name, convergences: this.#convergences, controlRate, summary, faults: [...this.#faults, ...this.#watch.faults],
		};
	}

	async #changeRules(): Promise<void> {
		for (const round of [1, 2, 3]) {
			await delay(500);
			await this.#submit(`rule changed under load, round ${round}`, this.#text.replaceAll('deadline 800ms', `deadline ${800 + round}ms`));
		}
	}

	async #drainUpstream(): Promise<void> {
		const place = this.#deployment.places[1]!;
		const announcedAt = Date.now();
		this.#fleet.signal(`upstream ${place.id}`, 'SIGTERM');
		await this.#fleet.waitForEnd(`upstream ${place.id}`);
		const late = readRuns(this.#fleet.runLogFile).filter(run => run.upstream === place.id && run.startedAt > announcedAt + drainNotice);
		this.#say(`upstream ${place.id} drained, ${late.length} calls reached it after ${drainNotice} ms`);
		this.#check(late.length === 0, `${late.length} calls reached a draining upstream after ${drainNotice} ms`);
		this.#fleet.startUpstream(place);
	}

	async #killAndReplaceNode(): Promise<void> {
		const place = this.#deployment.places[2]!;
		this.#fleet.signal(`node ${place.id}`, 'SIGKILL');
		this.#say(`node ${place.id} killed`);
		await delay(1000);
		this.#fleet.startNode(place);
		const startedAt = performance.now();
		await this.#fleet.waitUntilReady(this.#deployment.places.length, readyTimeout);
		this.#say(`node ${place.id} replaced, it serves and all know it after ${Math.round(performance.now() - startedAt)} ms`);
	}

	async #stopNodeGracefully(): Promise<void> {
		const place = this.#deployment.places[4]!;
		this.#fleet.signal(`node ${place.id}`, 'SIGTERM');
		const code = await this.#fleet.waitForEnd(`node ${place.id}`);
		this.#say(`node ${place.id} stopped with exit code ${code}`);
		this.#check(code === 0, `the planned stop of ${place.id} ended with exit code ${code}`);
		this.#fleet.startNode(place);
		await this.#fleet.waitUntilReady(this.#deployment.places.length, readyTimeout);
	}

	/** Two operators edit the same file at the same time: other lines merge, the same line clashes. */
	async #raceOperators(): Promise<void> {
		const [left, right] = [this.#deployment.places[0]!, this.#deployment.places[3]!];
		const first = this.#text.replace(/deadline 2s/v, 'deadline 2100ms');
		const second = `${this.#text}GET race.example/** -> ${left.service} # Demo: a second operator\n`;
		const base = await this.#readBase(left);
		const merged = await Promise.all([this.#send(left, first, base), this.#send(right, second, base)]);
		this.#check(merged.every(events => events.at(-1)?.kind === 'finished'), 'two edits of different lines were not both accepted');
		const clashBase = await this.#readBase(left);
		const clash = await Promise.all(['2200ms', '2300ms'].map(async (deadline, index) =>
			this.#send(index === 0 ? left : right, first.replace('2100ms', deadline), clashBase)));
		const kinds = clash.map(events => events.at(-1)?.kind ?? '').toSorted();
		this.#say(`two operators at once: different lines ended as ${merged.map(events => events.at(-1)?.kind).join(' and ')}, the same line as ${kinds.join(' and ')}`);
		this.#check(kinds.join(' ') === 'conflict finished', `two edits of one line ended as ${kinds.join(' and ')}`);
	}

	/** A node that was paused for longer than every timeout must not serve the rules it slept with. */
	async #freezeNode(): Promise<void> {
		const place = this.#deployment.places[5]!;
		this.#fleet.signal(`node ${place.id}`, 'SIGSTOP');
		await delay(freezeTime);
		const events = await this.#send(this.#deployment.places[0]!, this.#text);
		const version = events.find(event => event.kind === 'accepted')?.version ?? Number.NaN;
		this.#fleet.signal(`node ${place.id}`, 'SIGCONT');
		const served = await this.#readServedVersion(place);
		this.#say(`node ${place.id} frozen for ${freezeTime} ms; version ${version} came meanwhile, its first answer was under version ${served}`);
		this.#check(served >= version, `a thawed node answered under version ${served}, not ${version}`);
		await this.#fleet.waitUntilReady(this.#deployment.places.length, readyTimeout);
	}

	/** Calls a node until it answers by a rule, and returns the version that it served. */
	async #readServedVersion(place: Place): Promise<number> {
		const shape = shapes[this.#deployment.name]![0]!;
		let version = Number.NaN;
		await waitUntil(async () => {
			const answer = await request(`http://127.0.0.1:${this.#fleet.getPorts(place).callers}${shape.path.replace('*', '1')}`, {headers: {host: shape.host}});
			await answer.body.dump();
			version = Number(answer.headers['x-ebonylead-version'] ?? Number.NaN);
			return !Number.isNaN(version);
		}, readyTimeout);
		return version;
	}

	async #failPlatform(): Promise<void> {
		await this.#fleet.setPlatformFaults({isDown: true});
		const refused = await this.#send(this.#deployment.places[0]!, this.#text);
		this.#check(refused.at(-1)?.kind === 'refused', `a submission during the outage ended as ${refused.at(-1)?.kind}`);
		await delay(outageTime);
		await this.#fleet.setPlatformFaults({isDown: false});
		this.#say(`platform was down for ${outageTime} ms; a submission then was refused`);
		await this.#submit('rules after the outage', this.#text);
	}

	async #writeReport(): Promise<void> {
		const report = await new OperatorClient(this.#fleet.getOperatorUrl(this.#deployment.places[0]!)).fetchReport();
		const file = `dist/report-${this.#deployment.name}.html`;
		writeFileSync(file, renderBurnPage(report));
		this.#say(`burn report of ${report.rows.length} routes written to ${file}`);
	}

	async #submit(title: string, text: string): Promise<void> {
		const events = await this.#send(this.#deployment.places[0]!, text);
		const last = events.at(-1);
		if (last?.kind !== 'finished') {
			this.#faults.push(`${title}: ended as ${JSON.stringify(last)}`);
			return;
		}

		this.#convergences.push(last.elapsed);
		this.#say(`${title}: version ${last.version} in force on ${last.inForce} of ${last.members} nodes after ${last.elapsed} ms`);
		this.#check(last.inForce === last.members && last.elapsed < convergenceLimit, `${title}: ${last.inForce} of ${last.members} nodes after ${last.elapsed} ms`);
	}

	/** Reads the version that a node enforces, as the base of an edit. */
	async #readBase(place: Place): Promise<number> {
		const rules = await new OperatorClient(this.#fleet.getOperatorUrl(place)).fetchRules();
		return Number(/base version (\d+)/v.exec(rules)?.[1]);
	}

	async #send(place: Place, text: string, base?: number): Promise<SubmitEvent[]> {
		const client = new OperatorClient(this.#fleet.getOperatorUrl(place));
		const baseVersion = base ?? await this.#readBase(place);
		const events: SubmitEvent[] = [];
		for await (const event of client.submit({
			submissionId: randomUUID(), submitter: 'demo', file: this.#deployment.ruleFile, text, baseVersion,
		})) {
			events.push(event);
		}

		return events;
	}

	async #readControlBytes(): Promise<number> {
		const all = await Promise.all(this.#deployment.places.map(async place => this.#fleet.readMetrics(place)));
		return all.reduce((sum, metrics) => sum + (metrics.get('ebonylead_control_bytes') ?? 0), 0);
	}

	#judge(summary: LoadSummary, controlRate: number): void {
		for (const key of ['wrong', 'cut', 'lost', 'doubled', 'falseRefusals'] as const) {
			this.#check(summary[key] === 0, `${summary[key]} calls ${key}`);
		}

		this.#check(summary.answered > summary.calls * 0.9, `only ${summary.answered} of ${summary.calls} calls were answered`);
		this.#check(controlRate < controlLimit, `${Math.round(controlRate)} control bytes a second on a node`);
	}

	#check(isGood: boolean, fault: string): void {
		if (!isGood) {
			this.#faults.push(fault);
		}
	}

	#say(text: string): void {
		process.stdout.write(`${(performance.now() / 1000).toFixed(1).padStart(5)} s  ${this.#deployment.name}: ${text}\n`);
	}
}

async function runDemo(): Promise<void> {
	// Both must end before an error does, so that each stops its processes.
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
	process.stdout.write(faults.length === 0 ? 'Every promise was kept.\n' : `Promises broken:\n${faults.map(fault => `  ${fault}`).join('\n')}\n`);
	process.exitCode = faults.length === 0 ? 0 : 1;
}

function formatResults(results: readonly DeploymentResult[]): string {
	const rows: ReadonlyArray<readonly [string, (result: DeploymentResult) => string]> = [
		['convergence, longest (ms)', result => String(Math.max(...result.convergences))],
		['convergence, median (ms)', result => String(result.convergences.toSorted((left, right) => left - right)[Math.floor(result.convergences.length / 2)])],
		['control bytes a node and second', result => String(Math.round(result.controlRate))],
		['calls', result => String(result.summary.calls)],
		['answered whole', result => String(result.summary.answered)],
		['refused, not run', result => String(result.summary.notRun)],
		['outcome unknown', result => String(result.summary.unknown)],
		['wrong answer', result => String(result.summary.wrong)],
		['cut', result => String(result.summary.cut)],
		['lost', result => String(result.summary.lost)],
		['doubled', result => String(result.summary.doubled)],
		['refused as not run, but ran', result => String(result.summary.falseRefusals)],
	];
	return formatTable([['', ...results.map(result => result.name)], ...rows.map(([title, read]) => [title, ...results.map(result => read(result))])]);
}

void runDemo();
