/**
 * Bundles `dist/ebonylead.cjs` and `dist/stand-ins.cjs` with esbuild, and builds
 * the single executable `dist/ebonylead` with Node and postject. With
 * `--bundle-only` it skips the executable. With `--platform` it builds only
 * `target/ebonylead.cjs`, for the users' platform.
 */
import {execFileSync} from 'node:child_process';
import {
	chmodSync, copyFileSync, mkdirSync, writeFileSync,
} from 'node:fs';
import process from 'node:process';
import {build} from 'esbuild';

/** Build options of all bundles. */
const sharedOptions = {
	bundle: true, platform: 'node', target: 'node20', logLevel: 'warning', minifySyntax: true, legalComments: 'none',
};
if (process.argv.includes('--platform')) {
	await build({
		...sharedOptions, entryPoints: ['platform/src/platform.ts'], outfile: 'target/ebonylead.cjs', format: 'cjs',
	});
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
