/**
 * Bundles `dist/ebonylead.cjs` and `dist/stand-ins.cjs` with esbuild, and builds
 * the single executable `dist/ebonylead` with Node and postject. With
 * `--bundle-only` it skips the executable. With `--platform` it builds only
 * `target/ebonylead.cjs` for the users' platform, which loads `program.cjs` and
 * its code cache beside it.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** Build options of all bundles. */
const sharedOptions = {
	bundle: true, platform: 'node', target: 'node20', logLevel: 'warning', minifySyntax: true, legalComments: 'none',
};

/** Lets esbuild drop gRPC where none of its exports is used. */
const dropUnusedGrpc = {
	name: 'drop-unused-grpc',
	setup({onLoad, onResolve, resolve}) {
		// eslint-disable-next-line require-unicode-regexp -- Esbuild takes filters of Go, without flags.
		onResolve({filter: /^@grpc\/grpc-js$/}, async ({path, pluginData, ...options}) => {
			if (pluginData === dropUnusedGrpc.name) {
				return undefined;
			}

			const found = await resolve(path, {...options, pluginData: dropUnusedGrpc.name});
			return {...found, sideEffects: false};
		});
		// eslint-disable-next-line require-unicode-regexp -- As above.
		onLoad({filter: /generated\/peers\.ts$/}, ({path}) => ({
			loader: 'ts', contents: readFileSync(path, 'utf8').replace('= makeGenericClientConstructor(', '= /* @__PURE__ */ makeGenericClientConstructor('),
		}));
	},
};

if (process.argv.includes('--platform')) {
	// Each start compiles and runs all of the bundle, so it contains only what the program uses.
	await build({
		...sharedOptions,
		entryPoints: ['platform/src/platform.ts'],
		outfile: 'target/program.cjs',
		format: 'cjs',
		minifyWhitespace: true,
		plugins: [dropUnusedGrpc],
		alias: {'node:http2': './scripts/lean/http2.js', undici: './scripts/lean/undici.js', 'prom-client': './scripts/lean/prom-client.js'},
	});
	copyFileSync('scripts/loader.cjs', 'target/ebonylead.cjs');
	execFileSync(process.execPath, [...readNodeArguments(), 'scripts/write-code-cache.cjs'], {stdio: 'inherit'});
	process.exit(0);
}

mkdirSync('dist', {recursive: true});
await build({
	...sharedOptions, entryPoints: ['packages/node/src/ebonylead.ts'], outfile: 'dist/ebonylead.cjs', format: 'cjs',
});
await build({
	...sharedOptions, entryPoints: ['packages/stand-ins/src/stand-ins.ts'], outfile: 'dist/stand-ins.cjs', format: 'cjs',
});

if (!process.argv.includes('--bundle-only')) {
	buildExecutable();
}

/** Returns the arguments of Node with which the program is deployed. */
function readNodeArguments() {
	const [, text] = /^run = "node (?<arguments>.*) target\/ebonylead\.cjs"$/mv.exec(readFileSync('deploy/system.toml', 'utf8'));
	return text.split(' ');
}

function buildExecutable() {
	writeFileSync('dist/sea.json', JSON.stringify({
		main: 'dist/ebonylead.cjs', output: 'dist/sea.blob', disableExperimentalSEAWarning: true,
	}));
	execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea.json'], {stdio: 'inherit'});
	copyFileSync(process.execPath, 'dist/ebonylead');
	chmodSync('dist/ebonylead', 0o755);
	execFileSync('node_modules/.bin/postject', [
		'dist/ebonylead', 'NODE_SEA_BLOB', 'dist/sea.blob', '--sentinel-fuse', 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
	], {stdio: 'inherit'});
}
