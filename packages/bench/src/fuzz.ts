/**
 * `npm run fuzz [nodes|requests] [FIRST_SEED] [COUNT]`: runs a random case for each seed
 * (`nodes`: a small cluster in virtual time, `requests`: calls to misbehaving upstreams),
 * and checks the guarantees of the mesh.
 */
import process from 'node:process';
import {runFuzzCase} from '@ebonylead/stand-ins/fuzz-case.js';
import {runRequestFuzzCase} from '@ebonylead/stand-ins/request-fuzz-case.js';

/** A kind of fuzz case. */
type FuzzKind = {
	/** Runs the case of a seed, and returns descriptions of the faults. */
	readonly run: (seed: number) => Promise<string[]>;

	/** Number of seeds if the command line names none. */
	readonly defaultCount: number;

	/** Number of cases that run at the same time. */
	readonly concurrency: number;
};

const kinds: Readonly<Record<string, FuzzKind>> = {
	nodes: {run: runFuzzCase, defaultCount: 1000, concurrency: 1},
	requests: {run: runRequestFuzzCase, defaultCount: 200, concurrency: 10},
};

async function runFuzz(name: string, first: number, count: number): Promise<number> {
	const kind = kinds[name]!;
	let next = first;
	let failures = 0;
	await Promise.all(Array.from({length: kind.concurrency}, async () => {
		while (next < first + count) {
			const seed = next;
			next++;
			for (const fault of await kind.run(seed)) {
				failures++;
				process.stdout.write(`${name}, seed ${seed}: ${fault}\n`);
			}
		}
	}));
	process.stdout.write(`${name}: ${count} seeds from ${first}, ${failures} faults\n`);
	return failures;
}

async function runAll(): Promise<void> {
	const [name, first, count] = process.argv.slice(2);
	if (name !== undefined && kinds[name] === undefined) {
		process.stderr.write(`Unknown fuzz kind "${name}"; available: ${Object.keys(kinds).join(', ')}\n`);
		process.exitCode = 2;
		return;
	}

	let failures = 0;
	for (const kindName of name === undefined ? Object.keys(kinds) : [name]) {
		failures += await runFuzz(kindName, Number(first ?? 1), Number(count ?? kinds[kindName]!.defaultCount));
	}

	process.exitCode = failures === 0 ? 0 : 1;
}

void runAll();
