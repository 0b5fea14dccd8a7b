import {Cancellation} from '@ebonylead/upstreams/cancellation.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {MemberState, UpstreamState, type Member} from '@ebonylead/peers/generated/peers.js';
import {Membership} from '@ebonylead/peers/membership.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {RouteTable} from '@ebonylead/rules/route-table.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakeClock} from '@ebonylead/stand-ins/fake-clock.js';
import {type MeshHarness} from '@ebonylead/stand-ins/mesh-harness.js';
import {RetryBudget} from '../retry-budget.js';
import {TargetChooser} from '../target-chooser.js';
import {call, withHarness} from './call-helpers.js';

const {rules} = parseRuleFile('f', 'GET a.example/** -> s # A').unsafeCoerce();
const route = new RouteTable({version: 1, rules}).routes[0]!;
const choices = 200;

function buildMember(id: string): Member {
	return {
		id, dataCentre: 'a', incarnation: 1, region: 'r', host: id, peerPort: 1, meshPort: 1, state: MemberState.ALIVE, service: 's', upstreamState: UpstreamState.READY, slots: 6, instance: 1,
	};
}

/** Creates a chooser for an upstream that accepts a share of its requests and one that accepts all, with their loads. */
async function createChooser({acceptance, refusingLoad, acceptingLoad}: {readonly acceptance: number; readonly refusingLoad: number; readonly acceptingLoad: number}) {
	const clock = new FakeClock();
	const membership = new Membership();
	const members = [buildMember('refusing'), buildMember('accepting')] as const;
	membership.merge(members, clock.now());
	const chooser = new TargetChooser(membership, 'a', clock, new SeededRandom(1));
	chooser.choose('s', route, new Set());
	await clock.advance(10_000);
	for (const [member, load, share] of [[members[0], refusingLoad, acceptance], [members[1], acceptingLoad, 1]] as const) {
		chooser.recordStart(member);
		chooser.recordEnd(member, false, load);
		chooser.recordAcceptance(member, share);
	}

	const countRefusing = (isNested: boolean) => Array.from({length: choices}, () => chooser.choose('s', route, new Set(), 0, isNested)!.id).filter(id => id === 'refusing').length;
	return {clock, countRefusing};
}

/** Has the upstream of a VM refuse a number of admitted calls. */
async function refuseCalls({vms}: MeshHarness, index: number, count: number): Promise<void> {
	const {admission} = vms[index]!.localUpstream;
	for (let refused = 0; refused < count; refused++) {
		const deadline = Number.MAX_SAFE_INTEGER;
		const admitted = await admission.admit({
			caller: 'c', deadline, objective: deadline, priority: 0, route: 'r', routeSlots: undefined, cancellation: new Cancellation(),
		});
		if (admitted.kind === 'admitted') {
			admitted.release(false);
		}
	}
}

describe('an upstream that refuses requests', () => {
	it('is not chosen while another one has a free slot, although it looks idle', async t => {
		const {countRefusing} = await createChooser({acceptance: 0.45, refusingLoad: 0, acceptingLoad: 0.25});
		t.is(countRefusing(false), 0);
		t.is(countRefusing(true), 0);
	});

	it('gets calls of callers, but none of upstreams, when the other one is full', async t => {
		const {countRefusing} = await createChooser({acceptance: 0.45, refusingLoad: 0.2, acceptingLoad: 1.2});
		t.is(countRefusing(false), choices);
		t.is(countRefusing(true), 0);
	});

	it('is chosen by its load again some time after its last refusal', async t => {
		const {clock, countRefusing} = await createChooser({acceptance: 0, refusingLoad: 0, acceptingLoad: 0.5});
		t.is(countRefusing(true), 0);
		await clock.advance(30_000);
		t.true(countRefusing(true) > 0);
	});

	it('is avoided from the first response of its sidecar on', async t => {
		await withHarness(async harness => {
			harness.setRules(['GET a.example/** -> s # A']);
			for (let index = 0; index < 2; index++) {
				await harness.addVm((_request, response) => {
					response.end('ok');
				});
			}

			await refuseCalls(harness, 0, 40);
			const callCount = 20;
			for (let index = 0; index < callCount; index++) {
				t.like(await call(harness, 'GET', '/x'), {status: 200});
			}

			t.true(harness.vms[0]!.requestCount <= 1, `${harness.vms[0]!.requestCount} requests`);
			t.true(harness.vms[1]!.requestCount >= callCount - 1);
		});
	});
});

describe('a retry budget of a service that upstreams call', () => {
	it('keeps a part for their calls', t => {
		const count = (isNested: boolean) => {
			const budget = new RetryBudget(0.1, () => 8);
			budget.recordCall('s', true);
			return Array.from({length: 20}, () => budget.admitRetry('s', isNested)).filter(Boolean).length;
		};

		t.true(count(true) >= 8, String(count(true)));
		t.true(count(false) >= 6 && count(false) <= 7, String(count(false)));
	});

	it('keeps none where only callers call it', t => {
		const budget = new RetryBudget(0.1, () => 8);
		budget.recordCall('s');
		t.is(Array.from({length: 20}, () => budget.admitRetry('s')).filter(Boolean).length, 8);
	});
});
