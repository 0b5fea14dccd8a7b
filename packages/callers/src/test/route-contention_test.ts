import {setTimeout as sleep} from 'node:timers/promises';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {encodeSnapshot} from '@ebonylead/rules/snapshot-codec.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {capacityLimits, outcomes, type Refusal} from '@ebonylead/upstreams/upstreams.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {RouteContention} from '../route-contention.js';
import {call, withHarness} from './call-helpers.js';

const objective = 400;
const {rules} = parseRuleFile('f', 'GET a.example/x -> s # A\nGET a.example/y -> s # A').unsafeCoerce();
const [route, otherRoute] = new RouteTable({version: 1, rules: rules.map(rule => ({...rule, objective}))}).routes;
const full: Refusal = {
	status: 503, outcome: outcomes.notRun, reason: 'no slot', retryAfter: 120, lacking: capacityLimits.slots, isContended: true,
};

function createContention() {
	const clock = new FakeClock();
	return {clock, contention: new RouteContention(clock)};
}

describe('the contention of a route', () => {
	it('refuses calls whose objective has passed, with the last delay, and no others', t => {
		const {contention} = createContention();
		t.is(contention.findRefusal(route!, objective), undefined);
		contention.record(route!, 0, full);
		t.like(contention.findRefusal(route!, objective), {outcome: 'not-run', status: 503, retryAfter: 120});
		t.is(contention.findRefusal(route!, objective - 1), undefined);
		t.is(contention.findRefusal(otherRoute!, objective), undefined);
	});

	it('ends when no new call was refused lately', async t => {
		const {clock, contention} = createContention();
		contention.record(route!, 0, full);
		await clock.advance(499);
		t.truthy(contention.findRefusal(route!, objective));
		await clock.advance(1);
		t.is(contention.findRefusal(route!, objective), undefined);
	});

	it('is shown only by the refusal of a new call for lack of slots, where late calls get none', t => {
		const {contention} = createContention();
		contention.record(route!, 1, full);
		contention.record(route!, 0, {...full, lacking: undefined});
		contention.record(route!, 0, {...full, isContended: false});
		contention.record(route!, 0, {...full, lacking: capacityLimits.rate});
		t.is(contention.findRefusal(route!, objective), undefined);
	});
});

describe('a call whose objective has passed', () => {
	it('is refused without asking a sidecar, while a sidecar has refused a new one and late ones', async t => {
		await withHarness(async harness => {
			const workMs = 600;
			const parsed = parseRuleFile('f', 'GET a.example/** -> s deadline 10s # A').unsafeCoerce();
			harness.activeVersion.apply(encodeSnapshot({version: 100, rules: parsed.rules.map(rule => ({...rule, objective: 1000}))}));
			await harness.addVm((_request, response) => {
				setTimeout(() => {
					response.end('ok');
				}, workMs);
			}, {slots: 1});
			t.like(await call(harness, 'GET', '/x'), {status: 200});
			const running = call(harness, 'GET', '/x');
			await sleep(workMs / 6);
			t.like(await call(harness, 'GET', '/x'), {status: 503});
			const late = await call(harness, 'GET', '/x', {headers: {'x-ebonylead-deadline': '5000'}});
			t.is(late.status, 503);
			t.regex(late.body, /calls in time lack slots/v);
			t.like(await running, {status: 200});
		});
	});
});
