/** Counts control messages and their bytes where they are encoded and decoded. */
import {type Buffer} from 'node:buffer';
import {type ServiceDefinition, type MethodDefinition} from '@grpc/grpc-js';

/** The control messages that a node sent and received. */
export type TransportCounts = {
	messages: number;
	bytes: number;
};

/**
 * Bytes that HTTP/2 and gRPC add to a message: frame headers and compressed
 * header blocks on an established connection.
 */
export const framingBytes = 70;

type Method = MethodDefinition<unknown, unknown>;

/** Builds a service definition whose messages are counted in both directions. */
export function buildCountedService<Definition extends ServiceDefinition>(definition: Definition, counts: TransportCounts): Definition {
	const methods = Object.entries(definition).map(([name, method]) => [name, buildCountedMethod(method as Method, counts)]);
	return Object.fromEntries(methods) as Definition;
}

function buildCountedMethod(method: Method, counts: TransportCounts): Method {
	const recordMessage = (length: number) => {
		counts.messages++;
		counts.bytes += length + framingBytes;
	};

	const wrapEncode = (encode: (value: unknown) => Buffer) => (value: unknown) => {
		const bytes = encode(value);
		recordMessage(bytes.length);
		return bytes;
	};

	const wrapDecode = (decode: (bytes: Buffer) => unknown) => (bytes: Buffer) => {
		recordMessage(bytes.length);
		return decode(bytes);
	};

	return {
		...method,
		requestSerialize: wrapEncode(method.requestSerialize),
		requestDeserialize: wrapDecode(method.requestDeserialize),
		responseSerialize: wrapEncode(method.responseSerialize),
		responseDeserialize: wrapDecode(method.responseDeserialize),
	};
}
