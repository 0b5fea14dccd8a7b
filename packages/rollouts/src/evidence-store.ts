/** The reports on one roll-out at its coordinator. */
import {type SliceCounts} from './run-counts.js';
import {type RolloutReport} from './rollout-messages.js';
import {type UpstreamEvidence} from './tallies.js';

/** What one process of a sidecar has reported. */
type ReportedProcess = {
	report: RolloutReport;
	receivedAt: number;
	readonly slices: Map<string, SliceCounts>;
};

/** Time in milliseconds after which a process without a report counts as gone. */
const reportTtlMs = 3000;

/** Maximum number of processes of which reports are kept. */
const maxProcesses = 6000;

/** Keeps the newest counts of each process; those of processes that have ended stay evidence. */
export class EvidenceStore {
	readonly #processes = new Map<string, ReportedProcess>();

	/** Monotonic time in milliseconds of the last report; minus infinity before the first one. */
	get lastReportAt(): number {
		return Math.max(Number.NEGATIVE_INFINITY, ...[...this.#processes.values()].map(({receivedAt}) => receivedAt));
	}

	/** Adds a report that arrived. Returns whether earlier slices of the process are missing. */
	add(report: RolloutReport, now: number): boolean {
		const key = `${report.member} ${report.process} ${report.version}`;
		const known = this.#processes.get(key);
		if (known === undefined && (report.firstSlice > 0 || this.#processes.size >= maxProcesses)) {
			return report.firstSlice > 0;
		}

		if (known && known.report.sequence >= report.sequence) {
			return false;
		}

		const slices = known?.slices ?? new Map<string, SliceCounts>();
		for (const [slice, counts] of Object.entries(report.runs)) {
			slices.set(slice, counts);
		}

		this.#processes.set(key, {report: {...report, runs: {}}, receivedAt: now, slices});
		return false;
	}

	/** Lists the runs of all upstreams, by node. */
	listEvidence(to: string): UpstreamEvidence[] {
		const upstreams = new Map<string, UpstreamEvidence & {histories: Array<Record<string, SliceCounts>>}>();
		for (const {report: {member, version}, slices} of this.#processes.values()) {
			const key = `${member} ${version}`;
			const upstream = upstreams.get(key) ?? {id: member, isNewer: version === to, histories: []};
			upstream.histories.push(Object.fromEntries(slices));
			upstreams.set(key, upstream);
		}

		return [...upstreams.values()];
	}

	/** Lists the times at full speed of the new upstreams that had runs, or of all if none had. */
	listWarmTimes(to: string, now: number): number[] {
		const newer = this.#listCurrent(now).filter(({report}) => report.version === to && report.isReady);
		const tried = newer.filter(({slices}) => slices.size > 0);
		return (tried.length > 0 ? tried : newer).map(({report, receivedAt}) => report.warmFor === 0 ? 0 : report.warmFor + now - receivedAt);
	}

	/** Whether a new upstream was withdrawn by a roll-back. */
	isWithdrawn(to: string, now: number): boolean {
		return this.#listCurrent(now).some(({report}) => report.version === to && report.isWithdrawn);
	}

	/** Whether each older upstream that reports is closed and has no run in flight. */
	isOlderClosed(to: string, now: number): boolean {
		return this.#listCurrent(now).every(({report}) => report.version === to || (!report.isReady && report.inFlight === 0));
	}

	#listCurrent(now: number): ReportedProcess[] {
		return [...this.#processes.values()].filter(({receivedAt}) => now - receivedAt <= reportTtlMs);
	}
}
