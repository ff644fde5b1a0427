/** Item-by-item comparison of two documents, for previews, conflict reports and the audit log. */
import type { Document } from "./schema.js";

export interface Difference {
    readonly kind: "added" | "removed" | "changed";
    /** Path of the item, such as `targets.tokens-1`. */
    readonly path: string;
    /** JSON of the item before; undefined when added. */
    readonly before: string | undefined;
    /** JSON of the item after; undefined when removed. */
    readonly after: string | undefined;
}

/** Returns the differences; empty if the documents are equal. */
export function diffDocuments(before: Document | undefined, after: Document): Difference[] {
    const itemsBefore = before === undefined ? new Map<string, string>() : itemsOf(before);
    const itemsAfter = itemsOf(after);
    const differences: Difference[] = [];
    for (const [path, text] of itemsAfter) {
        const textBefore = itemsBefore.get(path);
        if (textBefore === undefined) {
            differences.push({ kind: "added", path, before: undefined, after: text });
        }
        else if (textBefore !== text) {
            differences.push({ kind: "changed", path, before: textBefore, after: text });
        }
    }
    for (const [path, text] of itemsBefore) {
        if (!itemsAfter.has(path)) {
            differences.push({ kind: "removed", path, before: text, after: undefined });
        }
    }
    return differences;
}

function itemsOf(document: Document): Map<string, string> {
    const items = new Map<string, string>();
    const put = (path: string, item: unknown): void => {
        items.set(path, JSON.stringify(item));
    };
    document.regions.forEach(region => put(`regions.${region.id}`, region));
    document.services.forEach(service => put(`services.${service.id}`, service));
    document.targets.forEach(target => put(`targets.${target.id}`, target));
    document.callerBlocks.forEach(block => put(`callerBlocks.${block.prefix}`, block));
    document.shifts.forEach(shift => put(`shifts.${shift.id}`, shift));
    document.links.forEach(link => put(`links.${[...link.between].sort().join("-")}`, link));
    document.limits.forEach(limit => put(`limits.${limit.service}.${limit.region}`, limit));
    document.leavingEntries.forEach(address => put(`leavingEntries.${address}`, address));
    return items;
}
