/**
 * Regenerates the committed generated code: the rule-line parser and the gRPC
 * messages and services.
 * Requires `protoc` from the Debian package `protobuf-compiler`; the build does
 * not.
 */
import {execFileSync} from 'node:child_process';

const run = (file, ...options) => execFileSync(file, options, {stdio: 'inherit'});
run('node_modules/.bin/peggy', '--format', 'es', '--dts', '-o', 'packages/rules/src/generated/rule-line.js', 'packages/rules/src/rule-line.peggy');
run(
	'protoc',
	'--plugin=node_modules/.bin/protoc-gen-ts_proto',
	'--ts_proto_out=packages/peers/src/generated',
	'--ts_proto_opt=outputServices=grpc-js,esModuleInterop=true,forceLong=number,env=node,outputJsonMethods=false,outputPartialMethods=false,importSuffix=.js',
	'-Ipackages/peers/proto',
	'packages/peers/proto/peers.proto',
);
