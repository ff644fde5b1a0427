/**
 * How hard a service's targets are pressed, from 0 (a free slot whenever one was wanted) to 1: the recent share of
 * placements that found no slot while the answer could still have been in time.
 */
import type { ServiceId } from "../ids.js";
import type { Timer } from "../time/timer.js";

export interface SlotPressure {
    record(service: ServiceId, foundNoRoom: boolean): void;
    levelOf(service: ServiceId): number;
}

const decayTimeConstantMs = 1_500;

export function createSlotPressure(timer: Timer): SlotPressure {
    const levels = new Map<ServiceId, { wanted: number; refused: number; at: number; }>();
    const faded = (service: ServiceId): { wanted: number; refused: number; at: number; } => {
        const level = levels.get(service) ?? { wanted: 0, refused: 0, at: timer.now() };
        const keep = Math.exp(-(timer.now() - level.at) / decayTimeConstantMs);
        const next = { wanted: level.wanted * keep, refused: level.refused * keep, at: timer.now() };
        levels.set(service, next);
        return next;
    };
    return {
        record: (service, foundNoRoom) => {
            const level = faded(service);
            level.wanted += 1;
            level.refused += foundNoRoom ? 1 : 0;
        },
        levelOf: service => {
            const level = faded(service);
            return level.refused / Math.max(4, level.wanted);
        },
    };
}
