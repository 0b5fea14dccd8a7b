import {SeededRandom} from '@ebonylead/base/random.js';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {chooseService} from '../service-split.js';

/** Maximum deviation of a service's share from its weight over `calls` calls, as the users require it. */
const allowedDeviation = 0.1;
const calls = 300;

describe('service split', () => {
	for (const seed of [1, 2, 3]) {
		it(`follows its weights over ${calls} calls (seed ${seed})`, t => {
			const {rules} = parseRuleFile('f', 'GET a.example/** -> s 70%, t 20%, u 10% # A').unsafeCoerce();
			const route = new RouteTable({version: 1, rules}).routes[0]!;
			const random = new SeededRandom(seed);
			const chosen = Array.from({length: calls}, () => chooseService(route, random));
			for (const {service, weight} of route.rule.split) {
				const share = chosen.filter(name => name === service).length / calls;
				t.true(Math.abs(share - (weight / 100)) < allowedDeviation, `${service}: ${share}`);
			}
		});
	}
});
