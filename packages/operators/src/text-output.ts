/** Formats the output of the operators' commands as text, in lines of at most 80 columns unless names are longer. */
import {formatFault} from '@ebonylead/rules/rule-file.js';
import {type RuleConflict} from '@ebonylead/rules/rule-merge.js';
import {
	type DataCentreStatus, type ExplainReport, type RuleExplanation, type StatusReport, type SubmitEvent,
} from './operators.js';

const maxListedNames = 10;

/** Formats an event of a submission. */
export function formatEvent(event: SubmitEvent): string {
	switch (event.kind) {
		case 'faults': {
			return event.faults.map(fault => formatFault(fault)).join('\n');
		}

		case 'conflict': {
			return ['Refused, nothing was changed: others edited the same lines.', ...event.conflicts.map(conflict => formatConflict(conflict))].join('\n');
		}

		case 'refused': {
			return `Refused: ${event.reason}`;
		}

		case 'unknown': {
			return `It is not known whether the submission was accepted: ${event.reason}`;
		}

		case 'accepted': {
			const merged = event.merged.length === 0 ? '' : `; kept ${event.merged.length} lines that others changed:\n${indent(event.merged)}`;
			return `Accepted as version ${event.version}; ${event.changed.length} lines changed${merged}`;
		}

		case 'progress': {
			return `In force on ${event.inForce} of ${event.members} nodes after ${event.elapsed} ms`;
		}

		case 'finished': {
			const lagging = event.lagging.length === 0 ? '' : `; lagging: ${formatNameList(event.lagging)}`;
			return `Version ${event.version} is in force on ${event.inForce} of ${event.members} nodes after ${event.elapsed} ms${lagging}`;
		}
	}
}

/** Formats the status of a node. */
export function formatStatus(status: StatusReport): string {
	return [
		`Node ${status.node} in ${status.dataCentre}: version ${status.version}, ${status.isReady ? 'serves' : 'does not serve'}, platform ${status.store}`,
		`Members: ${status.members}`,
		...(status.organisations === undefined ? [] : [`Organisations: ${status.organisations}`]),
		...status.dataCentres.map(dataCentre => formatDataCentre(dataCentre)),
		...formatNamesLine('Suspected', status.suspected),
		...formatNamesLine('Draining', status.draining),
		...formatNamesLine('Lagging', status.laggards.map(laggard => `${laggard.id} (${laggard.version})`)),
		...formatNamesLine('Not reached', status.unreached),
		...formatNamesLine('Quarantined requests', status.quarantined),
	].join('\n');
}

/** Formats an explanation. */
export function formatExplanation(report: ExplainReport): string {
	const chosen = report.chosen === undefined
		? [`No rule of version ${report.version} matches.`]
		: [`Version ${report.version}. Matches:`, `  ${report.chosen.rule}`, `  asked by ${report.chosen.askedBy}, since version ${report.chosen.since}`];
	return [
		...chosen,
		...report.upstreams.map(upstream => `  ${upstream.id} of ${upstream.service} in ${upstream.dataCentre}: ${upstream.exclusion ?? 'may be chosen'}`),
		'Other rules:',
		...report.others.map(other => `  ${describeMismatch(other)}: ${other.rule}`),
	].join('\n');
}

function describeMismatch(explanation: RuleExplanation): string {
	return explanation.mismatch === undefined ? 'matches, less specific' : `${explanation.mismatch} differs`;
}

function formatConflict(conflict: RuleConflict): string {
	return [
		conflict.key,
		`  yours:    ${conflict.submitted ?? '(removed)'}`,
		`  in force: ${conflict.current ?? '(removed)'}`,
		`  asked by ${conflict.askedBy}, version ${conflict.version}`,
	].join('\n');
}

function formatDataCentre(status: DataCentreStatus): string {
	const versions = status.versions.map(({version, count}) => `version ${version} on ${count}`).join(', ');
	return `  ${status.dataCentre.padEnd(16)} ${String(status.members).padStart(5)} nodes: ${versions}`;
}

function formatNamesLine(title: string, names: readonly string[]): string[] {
	return names.length === 0 ? [] : [`${title}: ${formatNameList(names)}`];
}

function formatNameList(names: readonly string[]): string {
	const omitted = names.length > maxListedNames ? ` and ${names.length - maxListedNames} more` : '';
	return names.slice(0, maxListedNames).join(', ') + omitted;
}

function indent(lines: readonly string[]): string {
	return lines.map(line => `  ${line}`).join('\n');
}
