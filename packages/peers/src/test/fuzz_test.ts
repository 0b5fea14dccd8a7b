import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {runFuzzCase} from '@ebonylead/stand-ins/fuzz-case.js';

const seeds = 40;

describe('fuzz', () => {
	it(`finds no version that regresses, is partial or stays outdated in ${seeds} random histories`, async t => {
		const faults: string[] = [];
		for (let seed = 1; seed <= seeds; seed++) {
			for (const fault of await runFuzzCase(seed)) {
				faults.push(`seed ${seed}: ${fault}`);
			}
		}

		t.deepEqual(faults, []);
	});
});
