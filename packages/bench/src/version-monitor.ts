/** Samples the active version of every ready node, and records each decrease as a fault. */
import {delay, type Fleet} from './fleet.js';

const sampleIntervalMs = 200;

/** Monitors the versions of a running fleet. A decrease counts as a fault also after a restart of the node. */
export class VersionMonitor {
	readonly faults: string[] = [];
	readonly #fleet: Fleet;
	readonly #highestVersions = new Map<string, number>();
	#isStopping = false;

	constructor(fleet: Fleet) {
		this.#fleet = fleet;
	}

	/** Starts sampling. */
	start(): void {
		void this.#run();
	}

	/** Stops sampling. */
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
		const highest = this.#highestVersions.get(id) ?? 0;
		if (version < highest) {
			this.faults.push(`node ${id} served version ${version} after version ${highest}`);
		}

		this.#highestVersions.set(id, Math.max(highest, version));
	}
}
