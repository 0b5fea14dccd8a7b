/** Figures of the benchmarks, one line of JSON each. */
import process from 'node:process';

/** A measured figure with its bound. */
export type Figure = {
	readonly name: string;
	readonly value: number;
	readonly unit: string;

	/** Most, or least, that the value may be; undefined where it is only reported. */
	readonly bound?: number;
	readonly boundKind?: 'most' | 'least';

	/** Where the bound came from. */
	readonly boundFrom?: string;
};

const decimals = 4;

/** Prints figures as they come, and remembers whether all are within their bounds. */
export class FigureReport {
	readonly figures: Figure[] = [];
	#failures = 0;

	/** Count of figures past their bounds. */
	get failures(): number {
		return this.#failures;
	}

	/** Prints a figure. */
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

/** Returns a quantile of samples, from 0 to 1. */
export function computeQuantile(samples: readonly number[], quantile: number): number {
	const sorted = samples.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? Number.NaN;
}

/** Returns the slope and the start of the line that fits points best. */
export function computeLinearFit(points: ReadonlyArray<readonly [number, number]>): {slope: number; intercept: number} {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	return {slope, intercept: meanY - (slope * meanX)};
}
