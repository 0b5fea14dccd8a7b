/**
 * Nested `describe` blocks over ava, which has none of its own: the titles of
 * the blocks are put before the title of the test.
 */
import test, {type ExecutionContext} from 'ava';

const titles: string[] = [];

/** Opens a block of tests. */
export function describe(title: string, define: () => void): void {
	titles.push(title);
	define();
	titles.pop();
}

/** Defines a test within the open blocks. */
export function it(title: string, run: (t: ExecutionContext) => void | Promise<void>): void {
	test([...titles, title].join(' › '), run);
}
