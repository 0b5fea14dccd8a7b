import {SystemClock} from '@ebonylead/base/base.js';
import {SeededRandom} from '@ebonylead/base/random.js';
import {parseRuleFile} from '@ebonylead/rules/rule-file.js';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {FakePlatform} from '@ebonylead/stand-ins/fake-platform.js';
import {Acceptor, type Acceptance, type SubmissionRefusal} from '../acceptance.js';
import {VersionStore} from '../versions.js';

const first = 'GET a.example/x -> s # Ivanka';
const second = 'GET a.example/y -> s # Dimitar';

/** A clock whose sleeps end at once. */
class ImmediateClock extends SystemClock {
	override async sleep(): Promise<void> {
		await Promise.resolve();
	}
}

function setUp(seed = 1) {
	const clock = new SystemClock();
	const platform = new FakePlatform(clock);
	const versions = new VersionStore('d', platform, platform);
	const acceptor = new Acceptor({
		table: platform, objects: platform, versions, clock: new ImmediateClock(), random: new SeededRandom(seed),
	});
	const submit = async (id: string, baseVersion: number, lines: readonly string[]) => acceptor.submit({
		id, baseVersion, submitter: 'me', rules: parseRuleFile('f', lines.join('\n')).unsafeCoerce().rules,
	});
	return {platform, versions, submit};
}

async function expectAccepted(outcome: Awaited<ReturnType<Acceptor['submit']>>): Promise<Acceptance> {
	return outcome.unsafeCoerce();
}

function expectRefused(outcome: Awaited<ReturnType<Acceptor['submit']>>): SubmissionRefusal {
	return outcome.swap().unsafeCoerce();
}

describe('acceptance', () => {
	it('creates versions one by one, each with its snapshot in the store', async t => {
		const {submit, versions} = setUp();
		const one = await expectAccepted(await submit('a', 0, [first]));
		const two = await expectAccepted(await submit('b', 1, [first, second]));
		t.is(one.record.version, 1);
		t.is(two.record.version, 2);
		const head = await versions.readHead();
		const snapshot = await versions.readSnapshot(head.digest);
		t.deepEqual(snapshot.snapshot.rules.map(rule => rule.since), [1, 2]);
	});

	it('returns the same version for the same submission id', async t => {
		const {submit, versions} = setUp();
		await submit('a', 0, [first]);
		const again = await expectAccepted(await submit('a', 0, [first]));
		t.is(again.record.version, 1);
		const head = await versions.readHead();
		t.is(head.version, 1);
	});

	describe('concurrent edits', () => {
		it('merges lines that do not conflict, and lists what was merged', async t => {
			const {submit} = setUp();
			await submit('a', 0, [first]);
			await submit('b', 1, [first, second]);
			const merged = await expectAccepted(await submit('c', 1, [first, 'GET a.example/z -> s # Radka']));
			t.deepEqual(merged.record.merged, ['GET a.example/y']);
			t.is(merged.snapshot?.snapshot.rules.length, 3);
		});

		it('refuses a conflict, naming the line, who asked for the other one and its version', async t => {
			const {submit} = setUp();
			await submit('a', 0, [first]);
			await submit('b', 1, ['GET a.example/x -> other # Dimitar']);
			const refusal = expectRefused(await submit('c', 1, ['GET a.example/x -> third # Radka']));
			t.is(refusal.kind, 'conflict');
			t.like(refusal.kind === 'conflict' ? refusal.conflicts[0] : {}, {key: 'GET a.example/x', askedBy: 'Dimitar', version: 2});
		});

		it('accepts every one of many submissions at once', async t => {
			const {submit, versions} = setUp();
			const outcomes = await Promise.all(Array.from({length: 8}, async (_, index) => submit(`s${index}`, 0, [`GET a.example/${index} -> s # A`])));
			const seen = outcomes.map(outcome => outcome.unsafeCoerce().record.version).toSorted((left, right) => left - right);
			t.deepEqual(seen, [1, 2, 3, 4, 5, 6, 7, 8]);
			const head = await versions.readHead();
			const snapshot = await versions.readSnapshot(head.digest);
			t.is(snapshot.snapshot.rules.length, 8);
		});
	});

	describe('platform faults', () => {
		it('finds the outcome of a lost response by the submission id', async t => {
			const {submit, platform, versions} = setUp();
			platform.faults.lostAnswers = 1;
			const accepted = await expectAccepted(await submit('a', 0, [first]));
			t.is(accepted.record.version, 1);
			const head = await versions.readHead();
			t.is(head.version, 1);
		});

		it('refuses clearly and changes nothing while the store is down', async t => {
			const {submit, platform, versions} = setUp();
			platform.faults.isDown = true;
			t.is(expectRefused(await submit('a', 0, [first])).kind, 'unavailable');
			platform.faults.isDown = false;
			const head = await versions.readHead();
			t.is(head.version, 0);
		});

		it('does not report a submission as refused when its response was lost and the store went down', async t => {
			const {submit, platform, versions} = setUp();
			platform.faults.lostAnswers = 1;
			platform.onLostResponse = () => {
				platform.faults.isDown = true;
			};

			t.is(expectRefused(await submit('a', 0, [first])).kind, 'outcome-unknown');
			platform.faults.isDown = false;
			const head = await versions.readHead();
			t.is(head.version, 1);
			const again = await expectAccepted(await submit('a', 0, [first]));
			t.is(again.record.version, 1);
		});
	});
});
