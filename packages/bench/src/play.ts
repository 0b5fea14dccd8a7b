/**
 * `npm run play -- LOAD.json [--seed N] [--svg FILE]`: simulates a load against
 * the routing and admission of nodes in virtual time, and prints the outcomes of calls by class.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {LoadEmulator, type CallClassResult, type LimitUsage} from '@ebonylead/stand-ins/load-emulator.js';
import {defineCommand, runMain} from 'citty';
import {parseLoad} from './load-file.js';
import {formatTable} from './table.js';

type Results = ReadonlyMap<string, Readonly<CallClassResult>>;

const invalidLoadExitCode = 2;
const barHeight = 22;
const barGap = 10;
const barLeft = 140;
const barWidth = 560;
const margin = 40;
const colours = {
	inTime: '#27ae60', late: '#f39c12', refused: '#95a5a6', failed: '#c0392b',
} as const;

function renderTable(results: Results): string {
	const rows = [...results].map(([name, result]) => [
		name, ...[result.started, result.inTime, result.late, result.refused, result.refusedLate, result.refusedAgain, result.failed, result.runs, result.wastedRuns].map(String),
	]);
	return formatTable([['class', 'asked', 'in time', 'late', 'refused', 'refused late', 'refused again', 'failed', 'runs', 'wasted'], ...rows]);
}

function renderLimits(usages: readonly LimitUsage[]): string {
	const rows = usages.map(({upstream, allowed, worst, runs}) => [upstream, allowed.toFixed(1), String(worst), String(runs)]);
	return formatTable([['upstream with a limit', 'allowed in 4 s', 'worst 4 s', 'runs'], ...rows]);
}

function renderBar(result: Readonly<CallClassResult>, top: number): string {
	let x = barLeft;
	return Object.entries(colours).map(([outcome, colour]) => {
		const width = result[outcome as keyof typeof colours] / Math.max(1, result.started) * barWidth;
		const bar = `<rect x="${x.toFixed(1)}" y="${top}" width="${width.toFixed(1)}" height="${barHeight}" fill="${colour}"/>`;
		x += width;
		return bar;
	}).join('');
}

function renderPlot(results: Results): string {
	const calledClasses = [...results].filter(([, result]) => result.started > 0);
	const height = (2 * margin) + (calledClasses.length * (barHeight + barGap));
	const bars = calledClasses.map(([name, result], index) => {
		const top = margin + (index * (barHeight + barGap));
		return `<text x="${barLeft - 8}" y="${top + 15}" text-anchor="end">${name}</text>${renderBar(result, top)}`;
	});
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${barLeft + barWidth + margin}" height="${height}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="#fff"/>
<text x="${barLeft}" y="20">Outcomes of calls: in time (green), late (orange), refused (grey), failed (red)</text>
${bars.join('\n')}
</svg>
`;
}

const command = defineCommand({
	meta: {name: 'play', description: 'Simulates a load against the routing and admission of nodes in virtual time.'},
	args: {
		load: {type: 'positional', description: 'Load file (JSON)', required: true},
		seed: {type: 'string', description: 'Seed of the random arrivals and work', default: '1'},
		'ignore-limits': {type: 'boolean', description: 'Ignores the limits that upstreams name, for comparison', default: false},
		svg: {type: 'string', description: 'SVG file to write a plot to'},
	},
	async run({args}) {
		const load = parseLoad(readFileSync(args.load, 'utf8'));
		if (load.isLeft()) {
			process.stderr.write(`${args.load}: ${String(load.extract())}\n`);
			process.exitCode = invalidLoadExitCode;
			return;
		}

		const emulator = new LoadEmulator({...load.unsafeCoerce(), areLimitsIgnored: args['ignore-limits']}, Number(args.seed));
		const results = await emulator.run();
		process.stdout.write(`${renderTable(results)}\n`);
		const usages = emulator.listLimitUsages();
		if (usages.length > 0) {
			process.stdout.write(`${renderLimits(usages)}\n`);
		}

		if (args.svg !== undefined) {
			writeFileSync(args.svg, renderPlot(results));
		}
	},
});

void runMain(command);
