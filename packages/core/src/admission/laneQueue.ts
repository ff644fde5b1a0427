/**
 * Queue of requests that wait for a slot: a FIFO queue for each lane, served by weighted round robin, so that short
 * requests go first and long and deferrable ones are not starved.
 */
import type { Lane } from "../document/schema.js";

export interface QueuedItem<Item> {
    readonly item: Item;
    /** Time by which the item must have started, on the timer's clock. */
    readonly deadlineAt: number;
}

export interface LaneQueue<Item> {
    push(lane: Lane, queued: QueuedItem<Item>): void;
    /** Removes and returns the next item of the lanes that `hasRoom` accepts. */
    pop(hasRoom: (lane: Lane) => boolean): Item | undefined;
    /** Removes an item from its lane; returns whether it was queued. */
    remove(item: Item): boolean;
    /** Returns an item to the head of its lane and restores the turn that `pop` took. */
    pushFront(lane: Lane, queued: QueuedItem<Item>): void;
    /** Removes and returns the items for which `isRemoved` holds. */
    removeWhere(isRemoved: (item: Item) => boolean): Item[];
    length(lane: Lane): number;
    total(): number;
}

export const lanes: readonly Lane[] = ["short", "long", "deferrable"];

/** Turns of each lane per round of the weighted round robin. */
const laneWeights: Record<Lane, number> = { short: 16, long: 4, deferrable: 1 };

export function createLaneQueue<Item>(): LaneQueue<Item> {
    const queues: Record<Lane, QueuedItem<Item>[]> = { short: [], long: [], deferrable: [] };
    const remainingTurns: Record<Lane, number> = { ...laneWeights };

    const popFrom = (lane: Lane): Item => {
        remainingTurns[lane]--;
        return queues[lane].shift()!.item;
    };
    const pop = (hasRoom: (lane: Lane) => boolean): Item | undefined => {
        const readyLanes = lanes.filter(lane => queues[lane].length > 0 && hasRoom(lane));
        if (readyLanes.length === 0) {
            return undefined;
        }
        const laneWithTurn = readyLanes.find(lane => remainingTurns[lane] > 0);
        if (laneWithTurn === undefined) {
            Object.assign(remainingTurns, laneWeights);
        }
        return popFrom(laneWithTurn ?? readyLanes[0]!);
    };
    const remove = (item: Item): boolean =>
        lanes.some(lane => {
            const index = queues[lane].findIndex(queued => queued.item === item);
            if (index >= 0) {
                queues[lane].splice(index, 1);
            }
            return index >= 0;
        });
    const removeWhere = (isRemoved: (item: Item) => boolean): Item[] =>
        lanes.flatMap(lane => {
            const removed = queues[lane].filter(({ item }) => isRemoved(item));
            if (removed.length > 0) {
                queues[lane] = queues[lane].filter(queued => !removed.includes(queued));
            }
            return removed.map(({ item }) => item);
        });
    return {
        push: (lane, queued) => void queues[lane].push(queued),
        pop,
        remove,
        pushFront: (lane, queued) => {
            remainingTurns[lane]++;
            queues[lane].unshift(queued);
        },
        removeWhere,
        length: lane => queues[lane].length,
        total: () => lanes.reduce((sum, lane) => sum + queues[lane].length, 0),
    };
}
