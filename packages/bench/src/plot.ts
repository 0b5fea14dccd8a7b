/**
 * `npm run plot FIGURES.jsonl OUTPUT.svg`: plots convergence time over control
 * bytes from the output of `npm run bench distribution`.
 */
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {type Figure} from './figures.js';

/** Figures of one fleet: convergence times in milliseconds, idle control bytes of a node per second. */
type Point = {
	readonly name: string;
	readonly median: number;
	readonly max: number;
	readonly idleBytesPerSecond: number;
};

const width = 760;
const height = 360;
const left = 70;
const bottom = 50;
const right = 30;
const top = 40;
const ticks = 5;

function readPoints(file: string): Point[] {
	const lines = readFileSync(file, 'utf8').split('\n').filter(line => line.startsWith('{'));
	const figures = new Map(lines.map(line => JSON.parse(line) as Figure).map(figure => [figure.name, figure.value]));
	const names = [...figures.keys()].filter(name => name.endsWith('.convergence_max')).map(name => name.slice('distribution.'.length, -'.convergence_max'.length));
	return names.map(name => ({
		name,
		median: figures.get(`distribution.${name}.convergence_p50`)!,
		max: figures.get(`distribution.${name}.convergence_max`)!,
		idleBytesPerSecond: figures.get(`distribution.${name}.idle_bytes`)!,
	}));
}

function renderPlot(points: readonly Point[]): string {
	const maxX = Math.max(...points.map(point => point.idleBytesPerSecond)) * 1.15;
	const maxY = Math.max(...points.map(point => point.max)) * 1.15;
	const scaleX = (value: number) => left + (value / maxX * (width - left - right));
	const scaleY = (value: number) => height - bottom - (value / maxY * (height - top - bottom));
	const marks = points.map((point, index) => {
		const x = scaleX(point.idleBytesPerSecond);
		const label = top + 14 + (index * 16);
		return `<line x1="${x.toFixed(1)}" x2="${x.toFixed(1)}" y1="${scaleY(point.median).toFixed(1)}" y2="${scaleY(point.max).toFixed(1)}" stroke="#2c3e50"/>
<circle cx="${x.toFixed(1)}" cy="${scaleY(point.median).toFixed(1)}" r="4" fill="#27ae60"/>
<circle cx="${x.toFixed(1)}" cy="${scaleY(point.max).toFixed(1)}" r="4" fill="#c0392b"/>
<text x="${left + 320}" y="${label}">${point.name}: ${point.median.toFixed(0)} to ${point.max.toFixed(0)} ms, ${point.idleBytesPerSecond.toFixed(0)} B/s</text>`;
	});
	const axes = Array.from({length: ticks + 1}, (_, index) => {
		const x = maxX * index / ticks;
		const y = maxY * index / ticks;
		return `<text x="${scaleX(x).toFixed(1)}" y="${height - bottom + 18}" text-anchor="middle">${x.toFixed(0)}</text>
<text x="${left - 8}" y="${(scaleY(y) + 4).toFixed(1)}" text-anchor="end">${y.toFixed(0)}</text>
<line x1="${left}" x2="${width - right}" y1="${scaleY(y).toFixed(1)}" y2="${scaleY(y).toFixed(1)}" stroke="#ddd"/>`;
	});
	return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">
<rect width="${width}" height="${height}" fill="#fff"/>
<text x="${left}" y="20" font-size="14">Convergence time (ms; green: median, red: maximum) over idle control bytes per node (B/s)</text>
${axes.join('\n')}
${marks.join('\n')}
<text x="${width / 2}" y="${height - 8}" text-anchor="middle">idle control bytes per node and second</text>
</svg>
`;
}

const [input, output] = process.argv.slice(2);
if (input === undefined || output === undefined) {
	process.stderr.write('Usage: npm run plot FIGURES.jsonl OUTPUT.svg\n');
	process.exitCode = 2;
} else {
	writeFileSync(output, renderPlot(readPoints(input)));
}
