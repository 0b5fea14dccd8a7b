import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {
	compareRoutes, findMismatch, getRoute, type RequestHead, type Route,
} from '../route.js';
import {RouteTable} from '../route-table.js';
import {getRuleKey, type Rule} from '../rules.js';

const hostCount = 40;
const routeCount = 1600;

function buildRule(host: string, path: string, fields: Partial<Rule> = {}): Rule {
	return {
		methods: [], host, path, headers: [], split: [{service: 's', weight: 100}], idempotent: true, deadline: 1000, prefer: 'local', askedBy: 'A', reason: '', since: 1, ...fields,
	};
}

/** Searches all routes one after another, the most specific one first. */
function findByScan(rules: readonly Rule[], request: RequestHead): Route | undefined {
	const routes = rules.map(rule => getRoute(rule)).toSorted(compareRoutes);
	const findOfHost = (host: string) => routes.find(route => route.rule.host === host && findMismatch(route, request) === undefined);
	return findOfHost(request.host) ?? findOfHost('*');
}

const segment = fc.constantFrom('a', 'b', 'c', '', '*');
const requestSegment = fc.constantFrom('a', 'b', 'c', '', '*', '**', 'd');
const hostName = fc.constantFrom('x', 'y', '*');
const rule = fc.record({
	host: hostName,
	segments: fc.array(segment, {minLength: 1, maxLength: 4}),
	ending: fc.constantFrom('', '/**', '/*/**', '/**/a'),
	methods: fc.constantFrom([], ['GET'], ['GET', 'PUT']),
	headers: fc.constantFrom([], [{name: 'k', value: '1'}]),
}).map(({host, segments, ending, methods, headers}) => buildRule(host, `/${segments.join('/')}${ending}`, {methods, headers}));
const request = fc.record({
	method: fc.constantFrom('GET', 'PUT'),
	host: hostName,
	path: fc.array(requestSegment, {minLength: 1, maxLength: 6}).map(segments => `/${segments.join('/')}`),
	headers: fc.constantFrom({}, {k: '1'}),
});
const ruleList = fc.uniqueArray(rule, {maxLength: 25, selector: getRuleKey});

describe('route table', () => {
	describe('of a version in which few rules changed', () => {
		const rules = Array.from({length: routeCount}, (_, index) => buildRule(`h${index % hostCount}`, `/p${index}/*/**`));
		const before = new RouteTable({version: 1, rules});
		const changed = rules.map((old, index) => index % 500 === 7 ? {...old, deadline: 9} : old);
		const after = new RouteTable({version: 2, rules: changed}, before);
		const hosts = Array.from({length: hostCount}, (_, index) => `h${index}`);

		it('keeps the groups of all other hosts, so that a version does not cost as much as all routes', t => {
			const rebuilt = hosts.filter(host => after.findHostRoutes(host) !== before.findHostRoutes(host));
			t.deepEqual(rebuilt, ['h7', 'h27']);
		});

		it('keeps the routes of all other rules', t => {
			const find = (table: RouteTable, index: number) => table.findRoute({
				method: 'GET', host: `h${index % hostCount}`, path: `/p${index}/x`, headers: {},
			});
			const rebuilt = rules.filter((_, index) => find(after, index) !== find(before, index));
			t.is(rebuilt.length, 4);
			t.is(find(after, 507)!.rule.deadline, 9);
		});

		it('lacks a host that lost its last rule', t => {
			const without = new RouteTable({version: 3, rules: rules.filter(({host}) => host !== 'h3')}, after);
			t.is(without.findHostRoutes('h3'), undefined);
		});
	});

	describe('with many routes of one host', () => {
		it('compares a request with few of them, so that a call does not cost as much as all routes', t => {
			let matchCount = 0;
			const rules = Array.from({length: routeCount}, (_, index) => {
				const old = buildRule('h', `/p${index}/q/*/**`);
				return Object.defineProperty({...old}, 'methods', {
					get() {
						matchCount++;
						return [];
					},
				});
			});
			const table = new RouteTable({version: 1, rules});
			matchCount = 0;
			t.truthy(table.findRoute({
				method: 'GET', host: 'h', path: '/p1203/q/x', headers: {},
			}));
			t.true(matchCount < 10, `${matchCount}`);
		});
	});

	describe('whatever the rules', () => {
		it('finds the same route as a search of all rules', t => {
			t.notThrows(() => {
				fc.assert(fc.property(ruleList, fc.array(request, {minLength: 1, maxLength: 10}), (rules, requests) => {
					const table = new RouteTable({version: 1, rules});
					return requests.every(head => table.findRoute(head) === findByScan(rules, head));
				}), {seed: 20_261_204, numRuns: 2000});
			});
		});

		it('built from an earlier table finds the same routes as one built from scratch', t => {
			t.notThrows(() => {
				fc.assert(fc.property(fc.array(fc.tuple(ruleList, fc.nat(24)), {minLength: 2, maxLength: 6}), fc.array(request, {minLength: 1, maxLength: 10}), (edits, requests) => {
					let rules: Rule[] = [];
					let table = new RouteTable({version: 0, rules});
					for (const [version, [added, kept]] of edits.entries()) {
						const all = new Map([...rules.slice(0, kept), ...added].map(old => [getRuleKey(old), old]));
						rules = [...all.values()];
						const next = new RouteTable({version, rules}, table);
						const fresh = new RouteTable({version, rules});
						table = next;
						if (requests.some(head => next.findRoute(head) !== fresh.findRoute(head))) {
							return false;
						}
					}

					return true;
				}), {seed: 20_261_204, numRuns: 500});
			});
		});
	});
});
