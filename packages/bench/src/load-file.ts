/** Parses and validates load files (JSON) for the load emulator. */
import {type CallClass, type EmulatedLoad, type EmulatedService} from '@ebonylead/stand-ins/load-emulator.js';
import {Left, Right, type Either} from 'purify-ts';

const serviceFields = ['slots'] as const;
const classFields = ['rank', 'rate', 'work', 'objective', 'deadline', 'returns'] as const;

/** Parses a load file; the left side describes the first invalid field. */
export function parseLoad(text: string): Either<string, EmulatedLoad> {
	let load: EmulatedLoad;
	try {
		load = JSON.parse(text) as EmulatedLoad;
	} catch (error) {
		return Left(`the load is not JSON: ${(error as Error).message}`);
	}

	const fault = validateLoad(load);
	return fault === undefined ? Right(load) : Left(fault);
}

function validateLoad(load: EmulatedLoad): string | undefined {
	if (!isPositive(load.duration) || !isList(load.services) || !isList(load.classes)) {
		return 'the load needs "duration" above 0, a list "services" and a list "classes"';
	}

	const services = new Set(load.services.map(service => service.name));
	const classes = new Set(load.classes.map(callClass => callClass.name));
	return load.services.map(service => validateService(service)).find(fault => fault !== undefined)
		?? load.classes.map(callClass => validateClass(callClass, services, classes)).find(fault => fault !== undefined);
}

function validateService(service: EmulatedService): string | undefined {
	if (typeof service.name !== 'string' || !isList(service.speeds) || service.speeds.length === 0 || !service.speeds.every(speed => isPositive(speed))) {
		return `service ${JSON.stringify(service.name)} needs a name and a list "speeds" of numbers above 0`;
	}

	if (service.limits !== undefined && !(isList(service.limits) && service.limits.every(limit => limit === null || limit >= 0))) {
		return `service "${service.name}" needs a list "limits" of numbers of 0 or more, or null`;
	}

	return validateNumbers(`service "${service.name}"`, service, serviceFields);
}

function validateClass(callClass: CallClass, services: ReadonlySet<string>, classes: ReadonlySet<string>): string | undefined {
	if (!services.has(callClass.service)) {
		return `class "${callClass.name}" names service "${callClass.service}", which is not in the load`;
	}

	const unknownClass = isList(callClass.calls) ? callClass.calls.find(name => !classes.has(name)) : '';
	return unknownClass === undefined
		? validateNumbers(`class "${callClass.name}"`, callClass, classFields)
		: `class "${callClass.name}" calls class "${unknownClass}", which is not in the load`;
}

function validateNumbers<Field extends string>(owner: string, values: Readonly<Partial<Record<Field, unknown>>>, fields: readonly Field[]): string | undefined {
	const field = fields.find(name => typeof values[name] !== 'number' || !(values[name] >= 0));
	return field && `${owner} needs a number "${field}" of 0 or more`;
}

/** Wraps `Array.isArray` without its type predicate, which would narrow typed lists to `any[]`. */
function isList(value: unknown): boolean {
	return Array.isArray(value);
}

function isPositive(value: unknown): boolean {
	return typeof value === 'number' && value > 0;
}
