/** Formats plain-text tables. */

/** Formats rows with aligned columns: the first to the left, the others to the right. */
export function formatTable(rows: ReadonlyArray<readonly string[]>): string {
	const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)));
	return rows.map(row => row.map((cell, column) =>
		column === 0 ? cell.padEnd(widths[column]!) : cell.padStart(widths[column]!)).join('  ')).join('\n');
}
