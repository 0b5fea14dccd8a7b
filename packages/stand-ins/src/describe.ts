/**
 * Nested `describe` blocks for ava, which has none: the title of a test is
 * prefixed with the titles of its blocks.
 */
import test, {type ExecutionContext} from 'ava';

const titles: string[] = [];

/** Defines a block of tests. */
export function describe(title: string, define: () => void): void {
	titles.push(title);
	define();
	titles.pop();
}

/** Defines a test in the enclosing blocks. */
export function it(title: string, run: (t: ExecutionContext) => void | Promise<void>): void {
	test([...titles, title].join(' › '), run);
}

/** Defines a test in the enclosing blocks that runs while no other one of its file does, as it measures time or memory. */
export function itSerially(title: string, run: (t: ExecutionContext) => void | Promise<void>): void {
	test.serial([...titles, title].join(' › '), run);
}
