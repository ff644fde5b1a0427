/**
 * Requests that wait for a slot: a first-in first-out queue for each lane, drained by weight so that short work goes
 * first and long and deferrable work still moves.
 */
import type { Lane } from "../document/schema.js";

export interface QueuedItem<Item> {
    readonly item: Item;
    /** When it must have started, on the timer's clock. */
    readonly deadlineAt: number;
}

export interface LaneQueue<Item> {
    push(lane: Lane, waiting: QueuedItem<Item>): void;
    /** Takes the next item of a lane for which `hasRoom` holds. */
    pop(hasRoom: (lane: Lane) => boolean): Item | undefined;
    /** Removes one item wherever it waits. */
    remove(item: Item): boolean;
    /** Puts an item back at the head of its lane. */
    pushFront(lane: Lane, waiting: QueuedItem<Item>): void;
    /** Removes and returns everything. */
    clear(): Item[];
    length(lane: Lane): number;
    total(): number;
}

export const lanes: readonly Lane[] = ["short", "long", "deferrable"];

/** Turns that each lane gets in a round while all wait. */
const laneWeights: Record<Lane, number> = { short: 16, long: 4, deferrable: 1 };

export function createLaneQueue<Item>(): LaneQueue<Item> {
    const queues: Record<Lane, QueuedItem<Item>[]> = { short: [], long: [], deferrable: [] };
    const remainingTurns: Record<Lane, number> = { ...laneWeights };

    const take = (lane: Lane): Item => {
        remainingTurns[lane]--;
        return queues[lane].shift()!.item;
    };
    const pop = (hasRoom: (lane: Lane) => boolean): Item | undefined => {
        const ready = lanes.filter(lane => queues[lane].length > 0 && hasRoom(lane));
        if (ready.length === 0) {
            return undefined;
        }
        const withTurn = ready.find(lane => remainingTurns[lane] > 0);
        if (withTurn === undefined) {
            Object.assign(remainingTurns, laneWeights);
        }
        return take(withTurn ?? ready[0]!);
    };
    const remove = (item: Item): boolean =>
        lanes.some(lane => {
            const at = queues[lane].findIndex(waiting => waiting.item === item);
            if (at >= 0) {
                queues[lane].splice(at, 1);
            }
            return at >= 0;
        });
    const clear = (): Item[] => lanes.flatMap(lane => queues[lane].splice(0).map(waiting => waiting.item));
    return {
        push: (lane, waiting) => void queues[lane].push(waiting),
        pop,
        remove,
        pushFront: (lane, waiting) => {
            remainingTurns[lane]++;
            queues[lane].unshift(waiting);
        },
        clear,
        length: lane => queues[lane].length,
        total: () => lanes.reduce((sum, lane) => sum + queues[lane].length, 0),
    };
}
