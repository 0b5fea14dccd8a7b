/** Runs submissions: check, accept, put in force everywhere, and tell the operator of each step. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type SubmitEvent, type SubmitRequest} from '@ebonylead/operators/operators.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type Acceptance, type Acceptor, type Refusal} from '@ebonylead/store/acceptance.js';
import {type AppliedVersion} from '@ebonylead/rules/applied-version.js';
import {parseRuleFile, type RuleFile} from '@ebonylead/rules/rule-file.js';
import {computeDelta} from '@ebonylead/rules/snapshot-delta.js';
import {type HeadWatcher} from './head-watcher.js';

/** What `SubmissionRunner` needs. */
export type SubmissionRunnerParts = {
	readonly acceptor: Acceptor;
	readonly applied: AppliedVersion;
	readonly peers: PeerNode;
	readonly watcher: HeadWatcher;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Time in milliseconds after which an operator is told which nodes lag. */
const convergenceLimit = 15_000;
const censusPeriod = 250;

type Emit = (event: SubmitEvent) => void;

/** Takes submissions of operators. */
export class SubmissionRunner {
	readonly #parts: SubmissionRunnerParts;

	constructor(parts: SubmissionRunnerParts) {
		this.#parts = parts;
	}

	/** Runs one submission. */
	async run(request: SubmitRequest, emit: Emit): Promise<void> {
		const parsed = parseRuleFile(request.file, request.text);
		await parsed.caseOf({
			async Left(faults) {
				emit({kind: 'faults', faults});
			},
			Right: async file => this.#accept(request, file, emit),
		});
	}

	async #accept(request: SubmitRequest, file: RuleFile, emit: Emit): Promise<void> {
		const outcome = await this.#parts.acceptor.submit({
			id: request.submissionId,
			baseVersion: request.baseVersion ?? file.baseVersion ?? 0,
			submitter: request.submitter,
			rules: file.rules,
		});
		await outcome.caseOf({
			async Left(refusal) {
				emit(buildRefusalEvent(refusal));
			},
			Right: async acceptance => this.#spread(acceptance, emit),
		});
	}

	async #spread({record, snapshot, base}: Acceptance, emit: Emit): Promise<void> {
		const {applied, peers, clock, log, watcher} = this.#parts;
		const startedAt = clock.now();
		log.info(`Accepted version ${record.version} from ${record.submitter}`);
		emit({
			kind: 'accepted', version: record.version, changed: record.changed, merged: record.merged,
		});
		if (snapshot && base) {
			const reply = await peers.sendVersion(snapshot, computeDelta(base.snapshot, snapshot));
			log.debug(`Version ${record.version} reached ${reply.reached} nodes in ${Math.round(clock.now() - startedAt)} ms`);
			// Others must have a version before this node enforces it: should its process end now and the
			// platform fail, peers are the only ones to tell its successor. A watcher brings it otherwise.
			if (reply.reached > 0 || peers.membership.activeCount === 1) {
				applied.apply(snapshot);
			}
		} else {
			await watcher.poll();
		}

		await this.#waitUntilInForce(record.version, startedAt, emit);
	}

	/** Counts until every member has the version, or a later one, in force. */
	async #waitUntilInForce(version: number, startedAt: number, emit: Emit): Promise<void> {
		const {peers, clock} = this.#parts;
		for (;;) {
			const census = await peers.fetchCensus();
			const elapsed = Math.round(clock.now() - startedAt);
			const inForce = census.counts.filter(count => count.version >= version).reduce((sum, count) => sum + count.count, 0);
			const members = peers.membership.activeCount;
			if (inForce >= members || elapsed > convergenceLimit) {
				const lagging = [...census.laggards.map(laggard => laggard.id), ...census.unreached];
				emit({
					kind: 'finished', version, inForce, members, elapsed, lagging,
				});
				return;
			}

			emit({
				kind: 'progress', version, inForce, members, elapsed,
			});
			await clock.sleep(censusPeriod);
		}
	}
}

function buildRefusalEvent(refusal: Refusal): SubmitEvent {
	switch (refusal.kind) {
		case 'conflict': {
			return {kind: 'conflict', conflicts: refusal.conflicts};
		}

		case 'base-unknown': {
			return {kind: 'refused', reason: `base version ${refusal.baseVersion} does not exist; the newest version is ${refusal.headVersion}`};
		}

		case 'unavailable': {
			return {kind: 'refused', reason: `nothing was changed: ${refusal.reason}`};
		}

		case 'outcome-unknown': {
			return {kind: 'unknown', reason: refusal.reason};
		}
	}
}
