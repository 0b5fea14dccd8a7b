/** Entry point of the program `ebonylead`. */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {
	checkCommand, exitCodes, explainCommand, reportCommand, rulesCommand, runCommand, statusCommand, submitCommand,
} from '@ebonylead/operators/command-line.js';
import {readSettings} from '@ebonylead/operators/settings.js';
import {
	defineCommand, runMain, showUsage, type CommandDef,
} from 'citty';
import {Node} from './node.js';

// A single executable accepts no V8 flags on its command line, so the heap limits (in MiB) are set here.
setFlagsFromString('--max-semi-space-size=2');
setFlagsFromString('--max-old-space-size=96');

// The platform forbids io_uring. Node reads the variable when it opens the first file, so it is set before that.
process.env.UV_USE_IO_URING = '0';

const nodeCommand = defineCommand({
	meta: {name: 'node', description: 'Run the node in a VM\'s slot.'},
	args: {settings: {type: 'string', description: 'Settings file in JSON.', required: true}},
	async run({args}) {
		await runCommand(async () => {
			const settings = await readSettings(args.settings);
			await settings.caseOf({
				async Left(faults) {
					process.stderr.write(`${faults.join('\n')}\n`);
					process.exitCode = exitCodes.badInput;
				},
				async Right(checked) {
					const node = new Node(checked, () => {
						void node.stop().then(() => process.exit(exitCodes.failed));
					});
					await node.start();
					stopOnSignals(node);
				},
			});
		});
	},
});

function stopOnSignals(node: Node): void {
	let isStopping = false;
	const stop = () => {
		if (!isStopping) {
			isStopping = true;
			void node.stop().then(report => process.exit(report.openCalls === 0 ? exitCodes.done : exitCodes.failed));
		}
	};

	process.on('SIGTERM', stop);
	process.on('SIGINT', stop);
}

const helpCommand = defineCommand({
	meta: {name: 'help', description: 'Show this text.'},
	async run() {
		await showUsage(main);
	},
});

const main: CommandDef = defineCommand({
	meta: {name: 'ebonylead', version: '0.1.0', description: 'Distributes routing rules to the proxies of a service mesh.'},
	subCommands: {
		node: nodeCommand, check: checkCommand, submit: submitCommand, rules: rulesCommand, status: statusCommand, explain: explainCommand, report: reportCommand, help: helpCommand,
	},
});

void runMain(main);
