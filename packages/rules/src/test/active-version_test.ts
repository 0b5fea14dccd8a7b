import fc from 'fast-check';
import {describe, it} from '@ebonylead/stand-ins/describe.js';
import {ActiveVersion} from '../active-version.js';
import {parseRuleFile} from '../rule-file.js';
import {type EncodedSnapshot} from '../rules.js';
import {decodeSnapshot, emptySnapshot, encodeSnapshot} from '../snapshot-codec.js';
import {computeDelta, type SnapshotDelta} from '../snapshot-delta.js';

function buildSnapshot(version: number): EncodedSnapshot {
	const lines = Array.from({length: 5}, (_, index) => `GET a.example/${(version * 3) + index} -> s${version} # A`);
	return encodeSnapshot({version, rules: parseRuleFile('f', lines.join('\n')).unsafeCoerce().rules});
}

const snapshots = [emptySnapshot, ...Array.from({length: 8}, (_, index) => buildSnapshot(index + 1))];

type Update
	= | {readonly kind: 'snapshot'; readonly encoded: EncodedSnapshot}
		| {readonly kind: 'delta'; readonly delta: SnapshotDelta};

const update: fc.Arbitrary<Update> = fc.oneof(
	fc.nat(8).map((version): Update => ({kind: 'snapshot', encoded: snapshots[version]!})),
	fc.tuple(fc.nat(8), fc.nat(8)).map(([from, to]): Update => ({kind: 'delta', delta: computeDelta(snapshots[from]!.snapshot, snapshots[to]!)})),
	fc.tuple(fc.nat(7), fc.nat(4)).map(([from, kept]): Update => {
		const delta = computeDelta(snapshots[from]!.snapshot, snapshots[from + 1]!);
		return {kind: 'delta', delta: {...delta, changed: delta.changed.slice(0, kept)}};
	}),
);

describe('active version', () => {
	it('increases only, also with snapshots from a shared store, which are encoded on access', t => {
		const {rules} = parseRuleFile('f', 'GET a.example/** -> s # A\nGET a.example/x -> t # B').unsafeCoerce();
		const activeVersion = new ActiveVersion();
		t.true(activeVersion.applySnapshot({version: 2, rules}));
		t.false(activeVersion.applySnapshot({version: 2, rules: []}));
		t.false(activeVersion.applySnapshot({version: 1, rules: []}));
		t.is(activeVersion.current.routeTable.routes.length, 2);
		t.is(activeVersion.current.encoded.digest, encodeSnapshot({version: 2, rules}).digest);
		t.is(activeVersion.findDeltas(0), undefined);
	});

	it('never regresses and is never partial, in any order of late, repeated and damaged updates', t => {
		t.notThrows(() => {
			fc.assert(fc.property(fc.array(update, {maxLength: 40}), updates => {
				const activeVersion = new ActiveVersion();
				for (const next of updates) {
					const before = activeVersion.version;
					if (next.kind === 'snapshot') {
						activeVersion.apply(next.encoded);
					} else {
						activeVersion.applyDelta(next.delta);
					}

					const {encoded} = activeVersion.current;
					if (activeVersion.version < before || encoded.digest !== snapshots[activeVersion.version]!.digest) {
						return false;
					}
				}

				return true;
			}), {seed: 20_261_203, numRuns: 300});
		});
	});

	it('keeps the deltas that lead from earlier versions to its own', t => {
		const activeVersion = new ActiveVersion();
		activeVersion.apply(snapshots[1]!);
		activeVersion.apply(snapshots[2]!);
		activeVersion.apply(snapshots[3]!);
		const behind = new ActiveVersion();
		behind.apply(snapshots[1]!);
		t.true(behind.applyDeltas(activeVersion.findDeltas(1)!));
		t.is(behind.current.encoded.digest, snapshots[3]!.digest);
		t.is(activeVersion.findDeltas(7), undefined);
	});

	it('leaves a request the snapshot with which it started', t => {
		const activeVersion = new ActiveVersion();
		activeVersion.apply(snapshots[1]!);
		const held = activeVersion.current;
		activeVersion.apply(snapshots[2]!);
		t.is(held.encoded.snapshot.version, 1);
		t.is(held.routeTable.snapshot.version, 1);
	});
});

describe('snapshot codec', () => {
	it('rejects bytes that do not have the digest, and bytes that are no snapshot', t => {
		const {bytes, digest} = snapshots[2]!;
		t.true(decodeSnapshot(bytes, digest).isRight());
		t.true(decodeSnapshot(bytes.subarray(1), digest).isLeft());
		t.true(decodeSnapshot(snapshots[3]!.bytes, digest).isLeft());
	});

	it('rejects a rule without a service, even with a correct digest', t => {
		const broken = encodeSnapshot({version: 9, rules: [{...snapshots[1]!.snapshot.rules[0]!, split: []}]});
		t.true(decodeSnapshot(broken.bytes, broken.digest).isLeft());
	});
});
