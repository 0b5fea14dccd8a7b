/** Samples the version of every node, and notes each that goes back. */
import {delay, type Fleet} from './fleet.js';

const samplePeriod = 200;

/** Watches the versions of a fleet while it runs; a restart of a node does not excuse an older version. */
export class VersionWatch {
	readonly faults: string[] = [];
	readonly #fleet: Fleet;
	readonly #highest = new Map<string, number>();
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
			await Promise.all(this.#fleet.options.places.map(async place => {
				try {
					const metrics = await this.#fleet.readMetrics(place);
					if (metrics.get('ebonylead_ready') === 1) {
						this.#note(place.id, metrics.get('ebonylead_version') ?? 0);
					}
				} catch {
					// The node is being replaced.
				}
			}));
			await delay(samplePeriod);
		}
	}

	#note(id: string, version: number): void {
		const highest = this.#highest.get(id) ?? 0;
		if (version < highest) {
			this.faults.push(`node ${id} served version ${version} after version ${highest}`);
		}

		this.#highest.set(id, Math.max(highest, version));
	}
}
