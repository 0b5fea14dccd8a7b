/** Errors of steps that involve another process. */

/** An error that names the step that failed and the process at the other end. */
export class StepError extends Error {
	override readonly name: string = 'StepError';

	/** The step that failed, such as `read head`. */
	readonly step: string;

	/** The process at the other end, such as `platform http://10.0.0.1:7000`. */
	readonly peer: string;

	constructor(step: string, peer: string, reason: string, options?: {cause?: unknown}) {
		super(`${step} (${peer}): ${reason}`, options);
		this.step = step;
		this.peer = peer;
	}
}

/** The error of a step that may or may not have taken effect, as its response was lost. */
export class OutcomeUnknownError extends StepError {
	override readonly name = 'OutcomeUnknownError';
}

/** Describes any thrown value, with its error code if it has one. */
export function describeError(error: unknown): string {
	if (error instanceof Error) {
		const {code} = (error as NodeJS.ErrnoException);
		const text = error.message || error.name;
		return code && !text.includes(code) ? `${code}: ${text}` : text;
	}

	return String(error);
}

/** Describes an error of the JSON parser without the text around the error, which V8 quotes and which may be secret; other errors by their message. */
export function describeJsonError(error: unknown): string {
	if (!(error instanceof SyntaxError)) {
		return (error as Error).message;
	}

	const position = /position (?<position>\d+)/v.exec(error.message)?.groups?.position;
	return position === undefined ? 'no valid JSON' : `no valid JSON at position ${position}`;
}
