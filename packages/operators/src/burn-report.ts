/** Builds and renders the burn-rate report: how fast each route consumes its error budget. */
import {getRuleKey, type Rule} from '@ebonylead/rules/rules.js';

/** Call counts of one route, from which its report row is built. */
export type BurnCounts = {
	readonly route: string;

	/** Number of good calls per window. */
	readonly good: readonly number[];

	/** Number of bad calls per window. */
	readonly bad: readonly number[];
};

/** One route in the report. */
export type BurnRow = {
	readonly route: string;
	readonly services: readonly string[];
	readonly objective: number;

	/** Number of calls per window. */
	readonly calls: readonly number[];

	/** Burn rate per window; at 1 the budget is consumed exactly. */
	readonly burnRates: readonly number[];

	/** Remaining share of the budget of the longest window; negative if it is exceeded. */
	readonly budgetLeft: number;

	/** Who requested the rule; empty if the rule is no longer active. */
	readonly askedBy: string;

	/** Version in which the rule was added; 0 if the rule is no longer active. */
	readonly since: number;
};

/** Burn rates of all routes over all nodes. */
export type BurnReport = {
	readonly version: number;
	readonly windows: readonly string[];

	/** The routes, highest burn rate first. */
	readonly rows: readonly BurnRow[];

	/** Nodes that did not respond, so their counts are missing. */
	readonly unreached: readonly string[];
};

/** Service-level objectives by service: the required share of good calls. */
export type Objectives = Readonly<Record<string, number>>;

/** Objective of a service that the settings do not name. */
export const defaultObjective = 0.999;

/** Builds the rows of a report from the counts of all nodes. */
export function buildBurnRows(counts: readonly BurnCounts[], rules: readonly Rule[], objectives: Objectives): BurnRow[] {
	const rulesByKey = new Map(rules.map(rule => [getRuleKey(rule), rule]));
	const rows = counts.map(routeCounts => buildRow(routeCounts, rulesByKey.get(routeCounts.route), objectives));
	return rows.toSorted((left, right) => Math.max(...right.burnRates) - Math.max(...left.burnRates));
}

function buildRow(routeCounts: BurnCounts, rule: Rule | undefined, objectives: Objectives): BurnRow {
	const services = rule?.split.map(share => share.service) ?? [];
	const objective = getStrictestObjective(services, objectives);
	const budget = 1 - objective;
	const calls = routeCounts.good.map((good, index) => good + routeCounts.bad[index]!);
	const burnRates = calls.map((total, index) => total === 0 ? 0 : routeCounts.bad[index]! / total / budget);
	return {
		route: routeCounts.route, services, objective, calls, burnRates, budgetLeft: 1 - burnRates.at(-1)!, askedBy: rule?.askedBy ?? '', since: rule?.since ?? 0,
	};
}

/** Returns the highest objective of a route's services. */
function getStrictestObjective(services: readonly string[], objectives: Objectives): number {
	return services.length === 0 ? defaultObjective : Math.max(...services.map(service => objectives[service] ?? defaultObjective));
}

/** Formats the report as text. */
export function formatBurnReport(report: BurnReport): string {
	const rows = report.rows.map(row => [
		row.route,
		`  ${report.windows.map((window, index) => `${window} ${row.burnRates[index]!.toFixed(1)}x of ${row.calls[index]}`).join(', ')}`,
		`  objective ${(row.objective * 100).toFixed(2)}%, budget left ${(row.budgetLeft * 100).toFixed(0)}%, asked by ${row.askedBy || '(rule no longer in force)'}, since version ${row.since}`,
	].join('\n'));
	const missingNote = report.unreached.length === 0 ? '' : `\nWithout the calls of ${report.unreached.length} nodes that did not answer: ${report.unreached.slice(0, 10).join(', ')}`;
	const body = rows.length === 0 ? 'No calls yet.' : rows.join('\n');
	return `Burn of error budgets under version ${report.version}; 1x spends a budget exactly.\n${body}${missingNote}`;
}

/** Size of a bar in CSS pixels, and the burn rate at which it is full. */
const barWidth = 220;
const barHeight = 14;
const fullBarBurnRate = 10;

/** Renders the report as an HTML page that loads no external resources. */
export function renderBurnPage(report: BurnReport): string {
	const headerCells = report.windows.map(window => `<th>${escapeHtml(window)}</th>`).join('');
	const rows = report.rows.map(row => renderRow(row)).join('\n');
	const missingNote = report.unreached.length === 0 ? '' : ` ${report.unreached.length} nodes did not answer.`;
	return `<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em}
table{border-collapse:collapse}
td,th{padding:.3em .6em;border-bottom:1px solid #ccc;text-align:left;vertical-align:top}
small{color:#555}
</style>
<h1>Service-level burn</h1>
<p>Version ${report.version}. A bar is the speed at which a route spends its error budget;
the line marks 1x, which spends it exactly.${missingNote}</p>
<table><tr><th>Route</th>${headerCells}<th>Budget left</th></tr>
${rows}
</table></html>
`;
}

function renderRow(row: BurnRow): string {
	const bars = row.burnRates.map((rate, index) => `<td>${renderBar(rate)}<br><small>${rate.toFixed(1)}x of ${row.calls[index]} calls</small></td>`).join('');
	const ruleOrigin = row.askedBy === '' ? 'rule no longer in force' : `asked by ${row.askedBy}, since version ${row.since}`;
	const details = `${row.services.join(', ')}; objective ${(row.objective * 100).toFixed(2)}%; ${ruleOrigin}`;
	return `<tr><td>${escapeHtml(row.route)}<br><small>${escapeHtml(details)}</small></td>${bars}<td>${(row.budgetLeft * 100).toFixed(0)}%</td></tr>`;
}

function renderBar(rate: number): string {
	const width = Math.min(1, rate / fullBarBurnRate) * barWidth;
	const exactRateX = barWidth / fullBarBurnRate;
	const colour = rate > 1 ? '#c0392b' : '#27ae60';
	return [
		`<svg width="${barWidth}" height="${barHeight}" role="img" aria-label="${rate.toFixed(1)}x">`,
		`<rect width="${barWidth}" height="${barHeight}" fill="#eee"/>`,
		`<rect width="${width.toFixed(1)}" height="${barHeight}" fill="${colour}"/>`,
		`<line x1="${exactRateX}" x2="${exactRateX}" y1="0" y2="${barHeight}" stroke="#000"/>`,
		'</svg>',
	].join('');
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
