/** Runs a stand-in platform, upstreams and nodes as processes on the loopback address. */
import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, writeFileSync, openSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {type DelayRelayOptions} from '@ebonylead/stand-ins/delay-relay.js';
import {type UpstreamStandInOptions} from '@ebonylead/stand-ins/upstream-stand-in.js';
import {request} from 'undici';

/** A VM with a node and, unless `service` is empty, a local upstream. */
export type Vm = {
	readonly id: string;
	readonly dataCentre: string;
	readonly region: string;

	/** Service of the upstream; empty for a VM without one. */
	readonly service: string;
	readonly slots: number;

	/** Time that the upstream takes for a call, in milliseconds. */
	readonly serviceTime: number;
};

/** VMs of a fleet and settings that all of its nodes share. */
export type FleetOptions = {
	readonly deployment: string;
	readonly vms: readonly Vm[];

	/** Port of the platform; the ports from 10 above it on belong to the VMs, six each. */
	readonly basePort: number;

	/** Setting `spreading` of the nodes; `convergence` if undefined. */
	readonly spreading?: 'convergence' | 'bytes';
	readonly logLevel?: string;

	/** Command that starts the product; the bundle on this Node.js if undefined. */
	readonly program?: readonly string[];

	/** Whether only nodes are started, without upstreams. */
	readonly isNodesOnly?: boolean;

	/** One-way delay between nodes in milliseconds; 0 if undefined. Needs `relayHost`. */
	readonly relayDelayMs?: number;

	/** Seeds: the first peers in the settings of all nodes. */
	readonly peers?: ReadonlyArray<{readonly host: string; readonly peerPort: number}>;

	/** Address of the relay that delays traffic between nodes; each fleet needs its own. Undefined for no relay. */
	readonly relayHost?: string;
};

/** Ports of a node's listeners. */
export type NodePorts = {
	readonly callers: number;
	readonly mesh: number;
	readonly peers: number;
	readonly operators: number;
	readonly announcements: number;
};

const portsPerVm = 6;
const connectionsPerUpstream = 130;
const readyPollIntervalMs = 50;

/** The interval grows with the fleet, as each reading of metrics takes processor time of a node. */
const readyPollIntervalPerNodeMs = 15;
const host = '127.0.0.1';

/** A platform, upstreams and nodes as processes. Processes have names: `platform`, `relay`, `node ID` and `upstream ID`. */
export class Fleet {
	readonly options: FleetOptions;
	readonly directory = mkdtempSync(path.join(tmpdir(), 'ebonylead-fleet-'));
	readonly #children = new Map<string, ChildProcess>();

	constructor(options: FleetOptions) {
		this.options = options;
		// Kills the processes also when the benchmark exits on an error.
		process.on('exit', () => {
			for (const child of this.#children.values()) {
				child.kill('SIGKILL');
			}
		});
	}

	/** Log file of the upstreams, with a line of JSON for each call that they ran. */
	get runLogFile(): string {
		return path.join(this.directory, 'runs.jsonl');
	}

	/** Address of the platform. */
	get platformUrl(): string {
		return `http://${host}:${this.options.basePort}`;
	}

	/** Starts the platform and the relay, then all nodes and upstreams. */
	async start(): Promise<void> {
		await this.startPlatform();
		this.#startRelay();
		for (const vm of this.options.vms) {
			this.startVm(vm);
		}
	}

	/** Starts the platform and waits until it responds. */
	async startPlatform(): Promise<void> {
		this.#spawn('platform', [process.execPath, 'dist/stand-ins.cjs', 'platform', String(this.options.basePort)]);
		await waitUntil(async () => {
			await this.readPlatformCounts();
			return true;
		}, 5000);
	}

	/** Starts the node of a VM and its upstream, if it has one. */
	startVm(vm: Vm): void {
		this.startNode(vm);
		if (!this.options.isNodesOnly && vm.service !== '') {
			this.startUpstream(vm);
		}
	}

	/** Starts a TypeScript file as a process of the fleet. */
	startScript(name: string, file: string, options: readonly string[]): void {
		this.#spawn(name, [process.execPath, '--import=tsx', file, ...options]);
	}

	/** Starts the upstream of a VM. */
	startUpstream(vm: Vm): void {
		const options: UpstreamStandInOptions = {
			id: vm.id,
			port: this.getUpstreamPort(vm),
			service: vm.service,
			slots: vm.slots,
			connections: connectionsPerUpstream,
			serviceTime: vm.serviceTime,
			announceUrl: `http://${host}:${this.getPorts(vm).announcements}/announce`,
			isCrashable: true,
			runLogFile: this.runLogFile,
		};
		this.#spawn(`upstream ${vm.id}`, [process.execPath, 'dist/stand-ins.cjs', 'upstream', JSON.stringify(options)]);
	}

	/** Writes the settings of a VM's node and starts the node. */
	startNode(vm: Vm): void {
		const file = path.join(this.directory, `${vm.id}.json`);
		writeFileSync(file, JSON.stringify({
			deployment: this.options.deployment,
			node: {
				id: vm.id, host: this.options.relayHost ?? host, listenHost: host, dataCentre: vm.dataCentre, region: vm.region,
			},
			listeners: this.getPorts(vm),
			platform: {url: this.platformUrl},
			peers: (this.options.peers ?? []).map(peer => ({host: peer.host, peerPort: peer.peerPort})),
			spreading: this.options.spreading ?? 'convergence',
			logLevel: this.options.logLevel ?? 'warn',
		}));
		const program = this.options.program ?? [process.execPath, 'dist/ebonylead.cjs'];
		this.#spawn(`node ${vm.id}`, [...program, 'node', '--settings', file]);
	}

	/** Returns the listener ports of a VM's node. */
	getPorts(vm: Vm): NodePorts {
		const first = this.options.basePort + 10 + (this.options.vms.indexOf(vm) * portsPerVm);
		return {
			callers: first, mesh: first + 1, peers: first + 2, operators: first + 3, announcements: first + 4,
		};
	}

	/** Returns the port of a VM's upstream. */
	getUpstreamPort(vm: Vm): number {
		return this.getPorts(vm).callers + 5;
	}

	/** Returns the URL of the operators' listener of a VM's node. */
	getOperatorUrl(vm: Vm): string {
		return `http://${host}:${this.getPorts(vm).operators}`;
	}

	/** Returns the process id of a process by its name. */
	getPid(name: string): number | undefined {
		return this.#children.get(name)?.pid;
	}

	/** Sends a signal to a process by its name. */
	signal(name: string, signal: NodeJS.Signals): void {
		this.#children.get(name)?.kill(signal);
	}

	/** Waits until a process has exited, and returns its exit code; undefined if a signal ended it. */
	async waitForExit(name: string): Promise<number | undefined> {
		const child = this.#children.get(name);
		if (child?.exitCode !== null || child.signalCode !== null) {
			return child?.exitCode ?? undefined;
		}

		return new Promise(resolve => {
			child.once('exit', code => {
				resolve(code ?? undefined);
			});
		});
	}

	/** Sets the faults that the platform injects. */
	async setPlatformFaults(faults: Record<string, unknown>): Promise<void> {
		const response = await request(`${this.platformUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
		await response.body.dump();
	}

	/** Reads the counts of operations that the platform ran. */
	async readPlatformCounts(): Promise<{reads: number; writes: number}> {
		const response = await request(`${this.platformUrl}/counts`);
		return await response.body.json() as {reads: number; writes: number};
	}

	/** Reads when a version was accepted, in milliseconds since the Unix epoch. */
	async readAcceptanceTime(version: number): Promise<number> {
		const key = `${this.options.deployment}/versions/${String(version).padStart(12, '0')}`;
		const response = await request(`${this.platformUrl}/table/row?key=${encodeURIComponent(key)}`);
		const row = await response.body.json() as {value: string};
		return (JSON.parse(row.value) as {acceptedAt: number}).acceptedAt;
	}

	/** Reads the metrics of a node by name, with the sum of the values over all labels. */
	async readMetrics(vm: Vm): Promise<Map<string, number>> {
		const response = await request(`${this.getOperatorUrl(vm)}/metrics`);
		const metrics = new Map<string, number>();
		const text = await response.body.text();
		for (const line of text.split('\n')) {
			const match = /^(\w+)(?:\{.*\})? (\S+)$/v.exec(line);
			if (match) {
				metrics.set(match[1]!, (metrics.get(match[1]!) ?? 0) + Number(match[2]));
			}
		}

		return metrics;
	}

	/** Waits until every node is ready and sees the given count of members. */
	async waitUntilReady(memberCount: number, timeoutMs: number): Promise<void> {
		await Promise.all(this.options.vms.map(async vm => waitUntil(async () => {
			const metrics = await this.readMetrics(vm);
			return metrics.get('ebonylead_ready') === 1 && metrics.get('ebonylead_members') === memberCount;
		}, timeoutMs, readyPollIntervalPerNodeMs * this.options.vms.length)));
	}

	/** Kills every process that this fleet started, and waits until all have exited. */
	async stop(): Promise<void> {
		for (const child of this.#children.values()) {
			child.kill('SIGKILL');
		}

		await Promise.all([...this.#children.keys()].map(async name => this.waitForExit(name)));
	}

	#startRelay(): void {
		const {relayDelayMs, relayHost, vms} = this.options;
		if (relayHost === undefined) {
			return;
		}

		const ports = vms.flatMap(vm => [this.getPorts(vm).mesh, this.getPorts(vm).peers]);
		const options: DelayRelayOptions = {
			listenHost: relayHost, targetHost: host, ports, delay: relayDelayMs ?? 0,
		};
		this.#spawn('relay', [process.execPath, 'dist/stand-ins.cjs', 'relay', JSON.stringify(options)]);
	}

	#spawn(name: string, [command, ...options]: readonly string[]): void {
		const log = openSync(path.join(this.directory, `${name.replaceAll(' ', '-')}.log`), 'a');
		// Disables io_uring in all processes, as the product does: the platform forbids it.
		const child = spawn(command!, options, {stdio: ['ignore', log, log], env: {...process.env, UV_USE_IO_URING: '0'}});
		this.#children.set(name, child);
	}
}

/** Polls until a condition holds; an error counts as a condition that doesn't hold yet. */
export async function waitUntil(condition: () => Promise<boolean>, timeoutMs: number, pollIntervalMs = readyPollIntervalMs): Promise<void> {
	const deadline = Date.now() + timeoutMs;
	for (;;) {
		try {
			if (await condition()) {
				return;
			}
		} catch {
			// The process may not listen yet.
		}

		if (Date.now() > deadline) {
			throw new Error(`the condition did not hold within ${timeoutMs} ms`);
		}

		await delay(pollIntervalMs);
	}
}

/** Waits for a duration in milliseconds. */
export async function delay(durationMs: number): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, durationMs);
	});
}
