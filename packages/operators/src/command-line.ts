/** Implements the commands of `ebonylead` for operators. */
import {randomUUID} from 'node:crypto';
import {readFile, writeFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import process from 'node:process';
import {describeError} from '@ebonylead/base/errors.js';
import {formatFault, parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {defineCommand} from 'citty';
import {formatBurnReport, renderBurnPage} from './burn-report.js';
import {OperatorClient} from './operator-client.js';
import {type SubmitEvent} from './operators.js';
import {formatEvent, formatExplanation, formatStatus} from './text-output.js';

/** Exit codes of all commands. */
export const exitCodes = {
	/** The command succeeded. */
	done: 0,

	/** The node or the platform is unreachable, or an unexpected error occurred. */
	failed: 1,

	/** The command line, the settings or the rule file has faults. */
	badInput: 2,

	/** The submission conflicts with edits of others. */
	conflict: 3,

	/** It is unknown whether the submission was accepted. */
	unknown: 4,

	/** The submission was accepted, but is not active on all nodes yet. */
	lagging: 5,
} as const;

const nodeArgument = {
	type: 'string', description: 'Address of any node\'s operator listener.', default: process.env.EBONYLEAD_NODE ?? 'http://127.0.0.1:8083',
} as const;
const jsonArgument = {type: 'boolean', description: 'Print JSON.', default: false} as const;
const watchIntervalMs = 1000;

/** `ebonylead check FILE` */
export const checkCommand = defineCommand({
	meta: {name: 'check', description: 'Check a rule file without submitting it.'},
	args: {file: {type: 'positional', description: 'The rule file.', required: true}, json: jsonArgument},
	async run({args}) {
		await runCommand(async () => {
			const parsed = parseRuleFile(args.file, await readFile(args.file, 'utf8'));
			parsed.caseOf({
				Left(faults) {
					writeLine(args.json ? JSON.stringify({faults}) : faults.map(fault => formatFault(fault)).join('\n'));
					process.exitCode = exitCodes.badInput;
				},
				Right(file) {
					writeLine(args.json ? JSON.stringify({rules: file.rules.length}) : `${args.file}: ${file.rules.length} rules, no faults`);
				},
			});
		});
	},
});

/** `ebonylead submit FILE` */
export const submitCommand = defineCommand({
	meta: {name: 'submit', description: 'Submit a rule file and wait until it is in force everywhere.'},
	args: {
		file: {type: 'positional', description: 'The rule file.', required: true},
		node: nodeArgument,
		json: jsonArgument,
		base: {type: 'string', description: 'Version that the file is based on; read from its first line by default.'},
		id: {type: 'string', description: 'Submission id of an earlier attempt whose outcome is unknown.'},
		submitter: {type: 'string', description: 'Who submits.', default: userInfo().username},
	},
	async run({args}) {
		await runCommand(async () => {
			const submissionId = args.id ?? randomUUID();
			const events = new OperatorClient(args.node).submit({
				submissionId,
				submitter: args.submitter,
				file: args.file,
				text: await readFile(args.file, 'utf8'),
				baseVersion: args.base === undefined ? undefined : Number(args.base),
			});
			let lastEvent: SubmitEvent | undefined;
			for await (const event of events) {
				lastEvent = event;
				writeLine(args.json ? JSON.stringify(event) : formatEvent(event));
			}

			process.exitCode = getExitCode(lastEvent);
			if (process.exitCode === exitCodes.unknown) {
				process.stderr.write(`To retry with the same id, run: ebonylead submit --id ${submissionId} ${args.file}\n`);
			}
		});
	},
});

/** `ebonylead rules` */
export const rulesCommand = defineCommand({
	meta: {name: 'rules', description: 'Print the rules in force as a file to edit and submit.'},
	args: {node: nodeArgument, output: {type: 'string', description: 'Write to this file instead.'}},
	async run({args}) {
		await runCommand(async () => {
			const text = await new OperatorClient(args.node).fetchRules();
			if (args.output === undefined) {
				process.stdout.write(text);
			} else {
				await writeFile(args.output, text);
			}
		});
	},
});

/** `ebonylead status` */
export const statusCommand = defineCommand({
	meta: {name: 'status', description: 'Show versions in force, members and laggards.'},
	args: {node: nodeArgument, json: jsonArgument, watch: {type: 'boolean', description: 'Repeat every second.', default: false}},
	async run({args}) {
		await runCommand(async () => {
			const client = new OperatorClient(args.node);
			do {
				const status = await client.fetchStatus();
				writeLine(args.json ? JSON.stringify(status) : formatStatus(status));
				if (args.watch) {
					await new Promise(resolve => {
						setTimeout(resolve, watchIntervalMs);
					});
				}
			} while (args.watch);
		});
	},
});

/** `ebonylead explain METHOD HOST PATH` */
export const explainCommand = defineCommand({
	meta: {name: 'explain', description: 'Show which rule a request matches, and which upstreams it may reach.'},
	args: {
		method: {type: 'positional', description: 'Method, such as GET.', required: true},
		host: {type: 'positional', description: 'Host of the request.', required: true},
		path: {type: 'positional', description: 'Path of the request.', required: true},
		header: {type: 'string', description: 'A header as name=value.'},
		node: nodeArgument,
		json: jsonArgument,
	},
	async run({args}) {
		await runCommand(async () => {
			const headers = args.header === undefined ? [] : [args.header];
			const report = await new OperatorClient(args.node).explain(args.method, args.host, args.path, headers);
			writeLine(args.json ? JSON.stringify(report) : formatExplanation(report));
		});
	},
});

/** `ebonylead report` */
export const reportCommand = defineCommand({
	meta: {name: 'report', description: 'Report how fast the routes consume their error budgets.'},
	args: {node: nodeArgument, json: jsonArgument, html: {type: 'string', description: 'Write an HTML page to this file.'}},
	async run({args}) {
		await runCommand(async () => {
			const report = await new OperatorClient(args.node).fetchReport();
			if (args.html !== undefined) {
				await writeFile(args.html, renderBurnPage(report));
				return;
			}

			writeLine(args.json ? JSON.stringify(report) : formatBurnReport(report));
		});
	},
});

/** Runs a command; prints an error as one line, and sets the exit code. */
export async function runCommand(run: () => Promise<void>): Promise<void> {
	try {
		await run();
	} catch (error) {
		process.stderr.write(`ebonylead: ${describeError(error)}\n`);
		process.exitCode = (error as NodeJS.ErrnoException).code === 'ENOENT' ? exitCodes.badInput : exitCodes.failed;
	}
}

function writeLine(text: string): void {
	process.stdout.write(`${text}\n`);
}

function getExitCode(event: SubmitEvent | undefined): number {
	switch (event?.kind) {
		case 'faults': {
			return exitCodes.badInput;
		}

		case 'conflict': {
			return exitCodes.conflict;
		}

		case 'finished': {
			return event.inForce >= event.members ? exitCodes.done : exitCodes.lagging;
		}

		case 'unknown': {
			return exitCodes.unknown;
		}

		case 'accepted':
		case 'progress':
		case 'refused':
		case undefined: {
			return exitCodes.failed;
		}
	}
}
