import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {buildBurnRows, formatBurnReport, renderBurnPage} from '../burn-report.js';

const {rules} = parseRuleFile('f', 'GET a.example/x -> strict # Ivanka\nGET a.example/y -> lax # Radka').unsafeCoerce();
const counts = [
	{route: 'GET a.example/x', good: [99, 999, 999, 9999], bad: [1, 1, 1, 1]},
	{route: 'GET a.example/y', good: [50, 50, 50, 50], bad: [50, 50, 50, 50]},
	{route: 'GET a.example/<gone>', good: [0, 0, 0, 1], bad: [0, 0, 0, 0]},
];
const rows = buildBurnRows(counts, rules, {lax: 0.5});

describe('burn report', () => {
	it('computes burn rates and remaining budgets by the objective of each service, highest burn rate first', t => {
		t.deepEqual(rows.map(row => row.route), ['GET a.example/x', 'GET a.example/y', 'GET a.example/<gone>']);
		t.deepEqual(rows[0]!.burnRates.map(rate => rate.toFixed(2)), ['10.00', '1.00', '1.00', '0.10']);
		t.is(rows[0]!.budgetLeft.toFixed(2), '0.90');
		t.deepEqual(rows[1]!.burnRates, [1, 1, 1, 1]);
		t.is(rows[0]!.askedBy, 'Ivanka');
		t.is(rows[2]!.askedBy, '');
	});

	it('lists the missing nodes, and escapes names on the page', t => {
		const report = {
			version: 3, windows: ['5 min', '1 h', '6 h', '3 days'], rows, unreached: ['n7'],
		};
		t.regex(formatBurnReport(report), /5 min 10\.0x of 100.*\n.*asked by Ivanka/v);
		t.regex(formatBurnReport(report), /did not answer: n7/v);
		const page = renderBurnPage(report);
		t.false(page.includes('<gone>'));
		t.true(page.includes('&lt;gone&gt;'));
		t.false(/(?:src|href)=/v.test(page));
	});
});
