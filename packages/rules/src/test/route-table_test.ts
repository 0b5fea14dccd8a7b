import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {RouteTable} from '../route-table.js';
import {parseRuleFile} from '../rule-file.js';

function findService(lines: readonly string[], method: string, path: string, headers: Record<string, string> = {}): string | undefined {
	const {rules} = parseRuleFile('f', lines.join('\n')).unsafeCoerce();
	const table = new RouteTable({version: 1, rules});
	return table.findRoute({
		method, host: 'a.example', path, headers,
	})?.rule.split[0]!.service;
}

describe('route table', () => {
	const lines = [
		'GET a.example/** -> everything # A',
		'GET a.example/lots/** -> lots # A',
		'GET a.example/lots/*/certificate -> certificates # A',
		'GET a.example/lots/** header x-new=1 -> new-lots # A',
		'ANY */health -> health # A',
	];

	it('chooses the most specific rule, whatever the order of lines', t => {
		for (const order of [lines, lines.toReversed()]) {
			t.is(findService(order, 'GET', '/lots/17/certificate'), 'certificates');
			t.is(findService(order, 'GET', '/lots/17'), 'lots');
			t.is(findService(order, 'GET', '/lots/17', {'x-new': '1'}), 'new-lots');
			t.is(findService(order, 'GET', '/elsewhere'), 'everything');
			t.is(findService(order, 'POST', '/health'), 'health');
		}
	});

	it('finds nothing where no rule matches', t => {
		t.is(findService(lines, 'POST', '/lots/17'), undefined);
	});
});
