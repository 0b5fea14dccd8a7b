/** Reports benchmark figures as lines of JSON, and computes statistics for them. */
import process from 'node:process';

/** A measured value and its bound, printed under these field names. */
export type Figure = {
	readonly name: string;
	readonly value: number;
	readonly unit: string;

	/** Upper bound, or lower bound where `boundKind` is 'least'; undefined if the value is only reported. */
	readonly bound?: number;
	readonly boundKind?: 'most' | 'least';

	/** Source of the bound, such as an issue. */
	readonly boundFrom?: string;
};

const decimals = 4;

/** Prints figures as they are added, and counts those that violate their bounds. */
export class FigureReport {
	readonly figures: Figure[] = [];
	#failures = 0;

	/** Count of figures that violate their bounds. */
	get failures(): number {
		return this.#failures;
	}

	/** Prints a figure and checks it against its bound; NaN always fails. */
	add(figure: Figure): void {
		const rounded = {...figure, value: Number(figure.value.toFixed(decimals))};
		const isPassed = isWithin(rounded);
		this.figures.push(rounded);
		this.#failures += isPassed ? 0 : 1;
		process.stdout.write(`${JSON.stringify({...rounded, pass: isPassed})}\n`);
	}
}

function isWithin(figure: Figure): boolean {
	if (Number.isNaN(figure.value)) {
		return false;
	}

	if (figure.bound === undefined) {
		return true;
	}

	return figure.boundKind === 'least' ? figure.value >= figure.bound : figure.value <= figure.bound;
}

/** Computes a quantile (from 0 to 1) of samples; NaN if there are none. */
export function computeQuantile(samples: readonly number[], quantile: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Number.NaN;
}

/** Computes the least-squares line through points. */
export function computeLinearFit(points: ReadonlyArray<readonly [number, number]>): {slope: number; intercept: number} {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
}
