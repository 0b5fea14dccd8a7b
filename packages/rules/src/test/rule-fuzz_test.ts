import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {formatRuleFile, parseRuleFile} from '../rule-file.js';

const letters = 'abcdefghijklmnopqrstuvwxyz';
const word = fc.string({unit: fc.constantFrom(...letters), minLength: 1, maxLength: 8});
const line = fc.record({
	methods: fc.constantFrom('GET', 'POST', 'GET,HEAD', 'ANY'),
	path: fc.array(word, {maxLength: 3}),
	service: word,
	deadline: fc.integer({min: 1, max: 120_000}),
	kind: fc.constantFrom('once', 'idempotent'),
	asker: word,
}).map(fields => `${fields.methods} h.example/${fields.path.join('/')} -> ${fields.service} ${fields.kind} deadline ${fields.deadline}ms # ${fields.asker}`);

describe('rule grammar', () => {
	it('parses what it formats to the same rules', t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.uniqueArray(line, {maxLength: 8, selector: text => text.split(' -> ')[0]}), lines => {
				const {rules} = parseRuleFile('f', lines.join('\n')).unsafeCoerce();
				const again = parseRuleFile('f', formatRuleFile({version: 3, rules})).unsafeCoerce();
				return JSON.stringify(again.rules) === JSON.stringify(rules) && again.baseVersion === 3;
			}), {seed: 20_261_203, numRuns: 200});
		});
	});

	it('never throws, and names a line and a column for every fault', t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.oneof(fc.string({maxLength: 200}), fc.string({unit: fc.constantFrom(...'GET /->#%ms*,"=\n abc1'), maxLength: 200})), text => {
				const faults = parseRuleFile('f', text).swap().orDefault([]);
				return faults.every(fault => fault.line >= 1 && fault.column >= 1 && fault.advice !== '');
			}), {seed: 20_261_203, numRuns: 500});
		});
	});
});
