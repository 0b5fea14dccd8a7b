/** Reads the record of a case by the rules. */

/** Collects what became of each request that a client sent, by its id. */
export function collectRequests(lines) {
	const requests = new Map();
	const find = id => {
		if (!requests.has(id)) {
			requests.set(id, {id, runs: []});
		}

		return requests.get(id);
	};

	for (const line of lines) {
		switch (line.what) {
			case 'sent': {
				Object.assign(find(line.id), {sentAt: line.t, method: line.method, path: line.path});

				break;
			}

			case 'runs': {
				find(line.id).runs.push({t: line.t, upstream: line.upstream});

				break;
			}

			case 'answered': {
				Object.assign(find(line.id), {answeredAt: line.t, status: line.status, error: line.error});

				break;
			}
		// No default
		}
	}

	return [...requests.values()];
}

/** Counts answers by status, or by error. */
export function countAnswers(requests) {
	const counts = {};
	for (const {status, error} of requests) {
		const name = String(status ?? error ?? 'none');
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
