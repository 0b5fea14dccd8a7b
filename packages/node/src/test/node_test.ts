import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, readdirSync, readlinkSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {text as readText} from 'node:stream/consumers';
import {Fleet, waitUntil, type Vm} from '@ebonylead/bench/fleet.js';
import {OperatorClient} from '@ebonylead/operators/operator-client.js';
import {type SubmitEvent} from '@ebonylead/operators/operators.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {request} from 'undici';

const timeoutMs = 60_000;
const places: readonly Vm[] = ['a', 'a', 'b'].map((dataCentre, index) => ({
	id: `n${index}`, dataCentre, region: 'r', service: 's', slots: 4, serviceTime: 1,
}));

async function submit(fleet: Fleet, place: Vm, baseVersion: number): Promise<SubmitEvent | undefined> {
	let last: SubmitEvent | undefined;
	for await (const event of new OperatorClient(fleet.getOperatorUrl(place)).submit({
		submissionId: `s${baseVersion}`, submitter: 'test', file: 'f', text: `GET a.example/** -> s deadline ${5000 + baseVersion}ms # Ivanka`, baseVersion,
	})) {
		last = event;
	}

	return last;
}

/** Runs the program to its end, and returns its exit code and all that it printed. */
async function runProgram(...options: readonly string[]): Promise<{code: number | null; output: string}> {
	const child = spawn(process.execPath, ['dist/ebonylead.cjs', ...options], {stdio: ['ignore', 'pipe', 'pipe']});
	const [stdout, stderr] = await Promise.all([readText(child.stdout), readText(child.stderr)]);
	if (child.exitCode === null) {
		await once(child, 'exit');
	}

	return {code: child.exitCode, output: stdout + stderr};
}

function writeTemporary(name: string, text: string): string {
	const file = path.join(mkdtempSync(path.join(tmpdir(), 'ebonylead-test-')), name);
	writeFileSync(file, text);
	return file;
}

describe('program', () => {
	it('ends with code 2 and the path of the fault for bad settings', async t => {
		const result = await runProgram('node', '--settings', writeTemporary('s.json', '{"deployment": "d", "nodes": 1}'));
		t.is(result.code, 2);
		t.regex(result.output, /key "nodes" is not known/v);
	});

	it('ends with code 2 and every fault for a bad rule file', async t => {
		const result = await runProgram('check', writeTemporary('r.rules', 'GET a.example/ -> s\nGET /x -> s # A\n'));
		t.is(result.code, 2);
		t.regex(result.output, /r\.rules:1:20: .*who asked/v);
		t.regex(result.output, /r\.rules:2:5: /v);
	});

	it('ends with code 1 and names the node that does not answer', async t => {
		const result = await runProgram('status', '--node', 'http://127.0.0.1:1');
		t.is(result.code, 1);
		t.regex(result.output, /read status \(node http:\/\/127\.0\.0\.1:1\)/v);
	});
});

describe('fleet of processes', () => {
	it('enforces a submitted rule everywhere, replaces a node while the platform is down, and stops cleanly', async t => {
		const fleet = new Fleet({
			deployment: 'e2e', vms: places, basePort: 29_600, logLevel: 'error', peers: [{host: '127.0.0.1', peerPort: 29_612}],
		});
		try {
			await fleet.start();
			await fleet.waitUntilReady(places.length, timeoutMs);
			t.like(await submit(fleet, places[0]!, 0), {
				kind: 'finished', version: 1, inForce: 3, members: 3,
			});
			const call = async (place: Vm) => {
				const response = await request(`http://127.0.0.1:${fleet.getPorts(place).callers}/x`, {headers: {host: 'a.example'}});
				await response.body.dump();
				return response;
			};

			for (const place of places) {
				await waitUntil(async () => {
					const response = await call(place);
					return response.statusCode === 200 && response.headers['x-ebonylead-version'] === '1';
				}, timeoutMs);
			}

			const report = await new OperatorClient(fleet.getOperatorUrl(places[2]!)).fetchReport();
			t.true(report.rows[0]!.calls[0]! >= places.length);
			t.is(report.rows[0]!.askedBy, 'Ivanka');
			const descriptors = readdirSync(`/proc/${fleet.getPid('node n0')}/fd`).map(name => readlinkSync(`/proc/${fleet.getPid('node n0')}/fd/${name}`));
			t.deepEqual(descriptors.filter(name => name.includes('io_uring')), []);

			await fleet.setPlatformFaults({isDown: true});
			t.like(await submit(fleet, places[1]!, 1), {kind: 'refused'});
			fleet.signal('node n2', 'SIGTERM');
			t.is(await fleet.waitForExit('node n2'), 0);
			fleet.startNode(places[2]!);
			await waitUntil(async () => {
				const metrics = await fleet.readMetrics(places[2]!);
				return metrics.get('ebonylead_ready') === 1 && metrics.get('ebonylead_version') === 1;
			}, timeoutMs);
			await fleet.setPlatformFaults({isDown: false});
			t.like(await submit(fleet, places[2]!, 1), {kind: 'finished', version: 2, inForce: 3});
		} finally {
			await fleet.stop();
		}
	});
});
