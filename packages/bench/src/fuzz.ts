/**
 * `npm run fuzz [FIRST_SEED] [COUNT]`: handfuls of nodes over fake links, with
 * random changes and faults, and the invariants checked on every step.
 */
import process from 'node:process';
import {runFuzzCase} from '@ebonylead/stand-ins/fuzz-case.js';

const defaultCount = 1000;

async function runFuzz(): Promise<void> {
	const first = Number(process.argv[2] ?? 1);
	const count = Number(process.argv[3] ?? defaultCount);
	let failures = 0;
	for (let seed = first; seed < first + count; seed++) {
		const faults = await runFuzzCase(seed);
		for (const fault of faults) {
			failures++;
			process.stdout.write(`seed ${seed}: ${fault}\n`);
		}
	}

	process.stdout.write(`${count} seeds, ${failures} faults\n`);
	process.exitCode = failures === 0 ? 0 : 1;
}

void runFuzz();
