/** `npm run bench [NAME]...`: runs the benchmarks, prints each figure as a line of JSON, and exits with code 1 if a figure violates its bound, or 2 if a name is unknown. */
import process from 'node:process';
import {measureCapacity} from './bench-capacity.js';
import {measureDistribution} from './bench-distribution.js';
import {measureHerd} from './bench-herd.js';
import {measureOverload} from './bench-overload.js';
import {measureRequests} from './bench-requests.js';
import {FigureReport} from './figures.js';

const benchmarks: Readonly<Record<string, (report: FigureReport) => Promise<void>>> = {
	distribution: measureDistribution,
	requests: measureRequests,
	overload: measureOverload,
	herd: measureHerd,
	capacity: measureCapacity,
};

async function runBenchmarks(): Promise<void> {
	const names = process.argv.length > 2 ? process.argv.slice(2) : Object.keys(benchmarks);
	const unknown = names.filter(name => benchmarks[name] === undefined);
	if (unknown.length > 0) {
		process.stderr.write(`Unknown benchmark: ${unknown.join(', ')}; available: ${Object.keys(benchmarks).join(', ')}\n`);
		process.exitCode = 2;
		return;
	}

	const report = new FigureReport();
	for (const name of names) {
		await benchmarks[name]!(report);
	}

	process.exitCode = report.failures === 0 ? 0 : 1;
}

void runBenchmarks();
