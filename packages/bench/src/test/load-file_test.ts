import {readFileSync} from 'node:fs';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {parseLoad} from '../load-file.js';

const text = readFileSync(new URL('../../../../examples/loads/crown-stock-heavy.json', import.meta.url), 'utf8');

describe('load file', () => {
	it('of the examples is valid', t => {
		t.is(parseLoad(text).unsafeCoerce().classes.length, 6);
	});

	const faults: Record<string, [string, string, RegExp]> = {
		'names an unknown service': ['"service": "pantry-view"', '"service": "pantry"', /class "stock-check" names service "pantry"/v],
		'calls an unknown class': ['"calls": ["recipe-yield"]', '"calls": ["yield"]', /calls class "yield"/v],
		'has a string in place of a number': ['"rate": 180', '"rate": "180"', /class "stock-check" needs a number "rate"/v],
		'has no speed': ['[0.5, 1, 1.5]', '[]', /service "restock-desk" needs/v],
		'has a field without a value': ['"duration": 12000,', '"duration": ', /not JSON/v],
	};
	for (const [fault, [from, to, expected]] of Object.entries(faults)) {
		it(`is rejected where it ${fault}`, t => {
			t.regex(parseLoad(text.replace(from, to)).swap().unsafeCoerce(), expected);
		});
	}
});
