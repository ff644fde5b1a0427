/**
 * Weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights after Schindelhauer and Schomaker, 2005).
 * When a node leaves, only the keys that ranked it first are reassigned.
 */
import { hashText } from "../hash/hash.js";

const twoTo32 = 2 ** 32;

/** Score of a node for a key; the highest score wins. A node's share of the keys is proportional to `weight` (> 0). */
export function rendezvousScore(key: string, node: string, weight = 1): number {
    const uniform = (hashText(key, hashText(node)) + 0.5) / twoTo32;
    return -weight / Math.log(uniform);
}

/** Returns `nodes` sorted by their score for `key`, highest first. */
export function rankByRendezvous<Node>(key: string, nodes: readonly Node[], nameOf: (node: Node) => string): Node[] {
    const scored = nodes.map(node => ({ node, name: nameOf(node), score: rendezvousScore(key, nameOf(node)) }));
    scored.sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1));
    return scored.map(entry => entry.node);
}

/** Returns the node with the highest score for `key`, without sorting. */
export function firstByRendezvous<Node>(
    key: string,
    nodes: readonly Node[],
    nameOf: (node: Node) => string,
): Node | undefined {
    let best: Node | undefined;
    let bestScore = -Infinity;
    for (const node of nodes) {
        const score = rendezvousScore(key, nameOf(node));
        if (score > bestScore || (score === bestScore && nameOf(node) < nameOf(best!))) {
            best = node;
            bestScore = score;
        }
    }
    return best;
}
