/** Samples the version of every node, and notes each that goes back. */
import {delay, type Fleet} from './fleet.js';

const sampleIntervalMs = 200;

/** Watches the versions of a fleet while it runs; a restart of a node does not excuse an older version. */
export class VersionMonitor {
	readonly faults: string[] = [];
	readonly #fleet: Fleet;
	readonly #highestVersions = new Map<string, number>();
	#isStopping = false;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Starts to sample. */
	start(): void {
		void this.#run();
	}

	/** Stops. */
	stop(): void {
		this.#isStopping = true;
	}

	async #run(): Promise<void> {
		while (!this.#isStopping) {
			await Promise.all(this.#fleet.options.vms.map(async vm => {
				try {
					const metrics = await this.#fleet.readMetrics(vm);
					if (metrics.get('ebonylead_ready') === 1) {
						this.#recordVersion(vm.id, metrics.get('ebonylead_version') ?? 0);
					}
				} catch {
					// The node is being replaced.
				}
			}));
			await delay(sampleIntervalMs);
		}
	}

	#recordVersion(id: string, version: number): void {
		const highestVersions = this.#highestVersions.get(id) ?? 0;
		if (version < highestVersions) {
			this.faults.push(`node ${id} served version ${version} after version ${highestVersions}`);
		}

		this.#highestVersions.set(id, Math.max(highestVersions, version));
	}
}
