/** Settings of XO. Each rule that is off has its reason. */
const config = [
	{
		ignores: ['**/generated/**', 'dist/**', '**/*_test.js'],
	},
	{
		files: ['**/src/test/**', '**/stand-ins/src/describe.ts', 'scripts/**', '*.config.js'],
		rules: {
			// Tests and scripts use the tools of the workspace root.
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
			// Tests stand in nested blocks, as the users want them.
			'max-nested-callbacks': 'off',
			// Test files are named after what they test: `NAME_test.ts`.
			'unicorn/filename-case': 'off',
			// `describe.ts` wraps ava and is no test file.
			'ava/no-ignored-test-files': 'off',
		},
	},
	{
		files: ['**/*.{js,ts}'],
		rules: {
			// Retries, polls and heartbeats are written straight down, one step after another.
			'no-await-in-loop': 'off',
			// `most` and `purify-ts` name their methods so.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// GRPC callbacks take null for no error, and `JSON` and undici give null.
			'@typescript-eslint/no-restricted-types': 'off',
			// `purify-ts` matches with `Left` and `Right`; environment and header names are not ours.
			'@typescript-eslint/naming-convention': 'off',
			// The constructors of wiring modules and small pure helpers take what they need.
			'max-params': ['warn', {max: 6}],
			// Left and Right of `purify-ts`, and protobuf names, are called without `new`.
			'new-cap': 'off',
			// Decoded JSON is asserted next to the code that checks it.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// Header objects of Node have no inherited keys, and `for in` makes no arrays on the path of every call.
			'guard-for-in': 'off',
			// Event emitters are Node's way to feed `most`.
			'unicorn/prefer-event-target': 'off',
			// Hashes are 32-bit arithmetic.
			'no-bitwise': 'off',
			// The program is bundled as CommonJS, which has no await at the top level.
			'unicorn/prefer-top-level-await': 'off',
			// The entry of the program ends the process with a documented code.
			'unicorn/no-process-exit': 'off',
			// Parameters keep their names over implementations of one interface.
			'@typescript-eslint/parameter-properties': 'off',
		},
	},
];

export default config;
