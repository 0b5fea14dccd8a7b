import fc from 'fast-check';
import {SystemClock} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakePlatform} from '@ebonylead/stand-ins/fake-platform.js';
import {Acceptor} from '../acceptance.js';
import {VersionStore} from '../versions.js';

/** A clock whose sleeps last some turns of the event loop, so that submissions interleave without waiting. */
class TurnClock extends SystemClock {
	override async sleep(duration: number): Promise<void> {
		const turns = 1 + Math.min(20, Math.floor(duration / 20));
		for (let turn = 0; turn < turns; turn++) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}
	}
}

type Step = {
	/** Number of the rule that the submission changes; changes of the same rule may conflict. */
	readonly rule: number;
	readonly base: number;
	readonly fault: 'none' | 'lost' | 'late' | 'down' | 'slow';

	/** Whether the operator sends the same submission again. */
	readonly isRepeated: boolean;
};

const step: fc.Arbitrary<Step> = fc.record({
	rule: fc.nat(4),
	base: fc.nat(3),
	fault: fc.constantFrom('none', 'none', 'lost', 'late', 'down', 'slow'),
	isRepeated: fc.boolean(),
});

/** Runs overlapping submissions, and returns the guarantees that were violated. */
async function runSteps(steps: readonly Step[]): Promise<string[]> {
	const clock = new TurnClock();
	const platform = new FakePlatform(clock);
	const versions = new VersionStore('d', platform, platform);
	const acceptor = new Acceptor({
		table: platform, objects: platform, versions, clock, random: new SeededRandom(1),
	});
	const outcomes = new Map<string, string[]>();
	const submit = async (id: string, {rule, base}: Step) => {
		const {rules} = parseRuleFile('f', `GET a.example/${rule} -> s deadline ${100 + Number(id)}ms # A`).unsafeCoerce();
		const outcome = await acceptor.submit({
			id, baseVersion: base, submitter: 'me', rules,
		});
		const text = outcome.caseOf({Left: refusal => refusal.kind, Right: acceptance => `version ${acceptance.record.version}`});
		outcomes.set(id, [...outcomes.get(id) ?? [], text]);
	};

	const running = steps.map(async (next, index) => {
		await clock.sleep(index * 40);
		platform.faults.isDown = next.fault === 'down';
		platform.faults.delay = next.fault === 'slow' ? 100 : 0;
		platform.faults.lostAnswers += Number(next.fault === 'lost');
		platform.faults.lateEffects += Number(next.fault === 'late');
		await submit(String(index), next);
		if (next.isRepeated) {
			await submit(String(index), next);
		}
	});
	await Promise.all(running);
	Object.assign(platform.faults, {isDown: false, delay: 0});
	await clock.sleep(2000);
	return listViolations(versions, outcomes);
}

async function listViolations(versions: VersionStore, outcomes: ReadonlyMap<string, readonly string[]>): Promise<string[]> {
	const violations: string[] = [];
	const head = await versions.readHead();
	const versionOfId = new Map<string, number>();
	for (let version = 1; version <= head.version; version++) {
		const record = await versions.readVersion(version);
		if (record === undefined || versionOfId.has(record.submissionId)) {
			violations.push(`version ${version} is missing, or a second one of its submission`);
			continue;
		}

		versionOfId.set(record.submissionId, version);
		const {snapshot} = await versions.readSnapshot(record.digest);
		if (snapshot.version !== version) {
			violations.push(`version ${version} names the snapshot of version ${snapshot.version}`);
		}
	}

	for (const [id, texts] of outcomes) {
		const version = versionOfId.get(id);
		for (const text of texts) {
			const isAccepted = text.startsWith('version');
			if (isAccepted && text !== `version ${version}`) {
				violations.push(`submission ${id} was told ${text}, and is version ${version}`);
			}
		}

		if (version !== undefined && !texts.some(text => text.startsWith('version') || text === 'outcome-unknown')) {
			violations.push(`submission ${id} was told ${texts.join(', ')}, and is version ${version}`);
		}
	}

	return violations;
}

describe('acceptance under random faults', () => {
	it('creates at most one version for a submission, and never reports an accepted one as refused', async t => {
		await t.notThrowsAsync(async () => {
			await fc.assert(fc.asyncProperty(fc.array(step, {minLength: 1, maxLength: 8}), async steps => {
				const violations = await runSteps(steps);
				if (violations.length > 0) {
					throw new Error(violations.join('; '));
				}
			}), {seed: 20_261_203, numRuns: 150});
		});
	});
});
