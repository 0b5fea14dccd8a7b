import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {
	formatFault, formatRuleFile, parseRuleFile, type RuleFault,
} from '../rule-file.js';
import {type Rule} from '../rules.js';

function parse(text: string): readonly Rule[] {
	return parseRuleFile('f', text).unsafeCoerce().rules;
}

function parseFaults(text: string): RuleFault[] {
	return parseRuleFile('f', text).swap().unsafeCoerce();
}

describe('rule file', () => {
	describe('a valid line', () => {
		it('gives every part of the rule', t => {
			const [rule] = parse('POST,GET a.example/x/*/y header X-B="1 2" -> one 90%, two 10% once deadline 3s slots 4 prefer sofia-a # Ivanka Petrova: why');
			t.deepEqual(rule, {
				methods: ['GET', 'POST'],
				host: 'a.example',
				path: '/x/*/y',
				headers: [{name: 'x-b', value: '1 2'}],
				split: [{service: 'one', weight: 90}, {service: 'two', weight: 10}],
				idempotent: false,
				deadline: 3000,
				slots: 4,
				prefer: 'sofia-a',
				askedBy: 'Ivanka Petrova',
				reason: 'why',
				since: 0,
			});
		});

		it('is idempotent by default for safe methods only', t => {
			t.true(parse('GET a.example/ -> s # A')[0]!.idempotent);
			t.false(parse('POST a.example/ -> s # A')[0]!.idempotent);
			t.false(parse('ANY a.example/ -> s # A')[0]!.idempotent);
		});
	});

	describe('faults', () => {
		it('are reported all at once, with line and column', t => {
			const faults = parseFaults([
				'GET a.example/ -> s',
				'GET a.example/ => s # A',
				'GET a.example/a -> s 40%, r 50% # A',
				'GET a.example/b -> s deadline 900s # A',
				'GET a.example/b -> s # A',
				'GET a.example/**/c -> s # A',
				'GET a.example/d -> s #',
			].join('\n'));
			t.deepEqual(faults.map(fault => `${fault.line}:${fault.column}`), ['1:20', '2:16', '3:20', '4:22', '5:1', '6:1', '7:22']);
			t.regex(formatFault(faults[0]!), /who asked/v);
			t.regex(formatFault(faults[1]!), /read "=> s # A"; write .*"->"/v);
			t.regex(formatFault(faults[4]!), /line 4 matches the same requests/v);
			t.regex(formatFault(faults[6]!), /name who asked/v);
		});
	});

	describe('format', () => {
		it('gives a file that reads back as the same rules, with its base version', t => {
			const rules = parse('GET a.example/** header x="y" -> s 50%, r 50% idempotent slots 3 # A: b\nPOST a.example/ -> s # C');
			const text = formatRuleFile({version: 7, rules});
			const again = parseRuleFile('f', text).unsafeCoerce();
			t.is(again.baseVersion, 7);
			t.deepEqual(again.rules, rules);
		});
	});
});
