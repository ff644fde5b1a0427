/** Markdown tables, medians and least-squares fits for the benchmarks. */

export function printTable(headings: readonly string[], rows: readonly (readonly string[])[]): void {
    const formatRow = (cells: readonly string[]): string => `| ${cells.join(" | ")} |\n`;
    process.stdout.write(`\n${formatRow(headings)}${formatRow(headings.map(() => "---"))}${rows.map(formatRow).join("")}`);
}

export function medianOf(values: readonly number[]): number {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted[sorted.length >> 1] ?? 0;
}

/** A measured cost at one size. */
export interface Point {
    readonly size: number;
    readonly cost: number;
}

/** Least-squares line through points. */
export interface Fit {
    readonly intercept: number;
    /** Additional cost per unit of size. */
    readonly slope: number;
    /** Largest distance of a point from the line, as a fraction of the largest cost. */
    readonly maxResidualRatio: number;
}

export function fitLine(points: readonly Point[]): Fit {
    const count = points.length;
    const meanSize = points.reduce((sum, point) => sum + point.size, 0) / count;
    const meanCost = points.reduce((sum, point) => sum + point.cost, 0) / count;
    const squaredSizeSum = points.reduce((sum, point) => sum + (point.size - meanSize) ** 2, 0);
    const crossProductSum = points.reduce((sum, point) => sum + (point.size - meanSize) * (point.cost - meanCost), 0);
    const slope = crossProductSum / squaredSizeSum;
    const intercept = meanCost - slope * meanSize;
    const maxCost = Math.max(...points.map(point => Math.abs(point.cost)));
    const maxResidual = Math.max(...points.map(point => Math.abs(point.cost - intercept - slope * point.size)));
    return { intercept, slope, maxResidualRatio: maxCost === 0 ? 0 : maxResidual / maxCost };
}
