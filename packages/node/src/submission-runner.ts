/** Runs submissions: parses and accepts them, applies them on all nodes, and reports each step to the operator. */
import {type Clock} from '@ebonylead/base/base.js';
import {type Logger} from '@ebonylead/base/logs.js';
import {type SubmitEvent, type SubmitRequest} from '@ebonylead/operators/operators.js';
import {type PeerNode} from '@ebonylead/peers/peer-node.js';
import {type Acceptance, type Acceptor, type SubmissionRefusal} from '@ebonylead/store/acceptance.js';
import {type ActiveVersion} from '@ebonylead/rules/active-version.js';
import {parseRuleFile, type RuleFile} from '@ebonylead/rules/rule-file.js';
import {computeDelta} from '@ebonylead/rules/snapshot-delta.js';
import {type HeadWatcher} from './head-watcher.js';

/** Dependencies of `SubmissionRunner`. */
export type SubmissionRunnerDependencies = {
	readonly acceptor: Acceptor;
	readonly activeVersion: ActiveVersion;
	readonly peers: PeerNode;
	readonly watcher: HeadWatcher;
	readonly clock: Clock;
	readonly log: Logger;
};

/** Timeout for a version to become active on all nodes; the nodes that lag are then reported to the operator. */
const convergenceTimeoutMs = 15_000;
const censusIntervalMs = 250;

type Emit = (event: SubmitEvent) => void;

/** Runs the submissions of operators. */
export class SubmissionRunner {
	readonly #dependencies: SubmissionRunnerDependencies;

	constructor(dependencies: SubmissionRunnerDependencies) {
		this.#dependencies = dependencies;
	}

	/** Runs one submission, and emits an event for each step. */
	async run(request: SubmitRequest, emit: Emit): Promise<void> {
		const parsed = parseRuleFile(request.file, request.text);
		await parsed.caseOf({
			async Left(faults) {
				emit({kind: 'faults', faults});
			},
			Right: async file => this.#submit(request, file, emit),
		});
	}

	async #submit(request: SubmitRequest, file: RuleFile, emit: Emit): Promise<void> {
		const outcome = await this.#dependencies.acceptor.submit({
			id: request.submissionId,
			baseVersion: request.baseVersion ?? file.baseVersion ?? 0,
			submitter: request.submitter,
			rules: file.rules,
			organisations: file.organisations,
		});
		await outcome.caseOf({
			async Left(refusal) {
				emit(buildRefusalEvent(refusal));
			},
			Right: async acceptance => this.#applyEverywhere(acceptance, emit),
		});
	}

	async #applyEverywhere({record, snapshot, base}: Acceptance, emit: Emit): Promise<void> {
		const {activeVersion, peers, clock, log, watcher} = this.#dependencies;
		const startedAt = clock.now();
		log.info(`Accepted version ${record.version} from ${record.submitter}`);
		emit({
			kind: 'accepted', version: record.version, changed: record.changed, merged: record.merged,
		});
		if (snapshot && base) {
			const reply = await peers.sendVersion(snapshot, computeDelta(base.snapshot, snapshot));
			log.debug(`Version ${record.version} reached ${reply.reached} nodes in ${Math.round(clock.now() - startedAt)} ms`);
			// A peer must have the version before this node applies it: if this process ended and the platform
			// failed, the restarted process could get it only from peers. If no peer was reached, a head watcher applies it later.
			if (reply.reached > 0 || peers.membership.aliveCount === 1) {
				activeVersion.apply(snapshot);
			}
		} else {
			await watcher.poll();
		}

		await this.#waitUntilActive(record.version, startedAt, emit);
	}

	/** Takes a census at each interval until the version, or a later one, is active on every member, or until the timeout. */
	async #waitUntilActive(version: number, startedAt: number, emit: Emit): Promise<void> {
		const {peers, clock} = this.#dependencies;
		for (;;) {
			const census = await peers.fetchCensus();
			const elapsed = Math.round(clock.now() - startedAt);
			const inForce = census.counts.filter(count => count.version >= version).reduce((sum, count) => sum + count.count, 0);
			const members = peers.membership.aliveCount;
			if (inForce >= members || elapsed > convergenceTimeoutMs) {
				const lagging = [...census.laggards.map(laggard => laggard.id), ...census.unreached];
				emit({
					kind: 'finished', version, inForce, members, elapsed, lagging,
				});
				return;
			}

			emit({
				kind: 'progress', version, inForce, members, elapsed,
			});
			await clock.sleep(censusIntervalMs);
		}
	}
}

function buildRefusalEvent(refusal: SubmissionRefusal): SubmitEvent {
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
