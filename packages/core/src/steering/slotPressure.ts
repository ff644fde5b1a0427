/**
 * Slot pressure of a service, from 0 (a slot was free whenever one was needed) to 1: the recent fraction of placements
 * that found no free slot although the response could still have met its objective.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface SlotPressure {
    record(service: ServiceId, foundNoSlot: boolean): void;
    levelOf(service: ServiceId): number;
}

const decayTimeConstantMs = 1_500;

export function createSlotPressure(timer: Timer): SlotPressure {
    const levels = new Map<ServiceId, { wanted: number; refused: number; at: number; }>();
    const decayed = (service: ServiceId): { wanted: number; refused: number; at: number; } => {
        const level = levels.get(service) ?? { wanted: 0, refused: 0, at: timer.now() };
        const keep = Math.exp(-(timer.now() - level.at) / decayTimeConstantMs);
        const next = { wanted: level.wanted * keep, refused: level.refused * keep, at: timer.now() };
        levels.set(service, next);
        return next;
    };
    return {
        record: (service, foundNoSlot) => {
            const level = decayed(service);
            level.wanted += 1;
            level.refused += foundNoSlot ? 1 : 0;
        },
        levelOf: service => {
            const level = decayed(service);
            return level.refused / Math.max(4, level.wanted);
        },
    };
}
