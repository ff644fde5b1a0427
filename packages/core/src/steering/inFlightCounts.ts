/** Requests of this entry in flight, by service and data centre of their targets. */
import type { DataCentreId, ServiceId } from "../ids.js";
import type { Target } from "./target.js";

export interface InFlightCounts {
    adjust(target: Target, change: number): void;
    countAt(service: ServiceId, dataCentre: DataCentreId): number;
    total(): number;
}

export function createInFlightCounts(): InFlightCounts {
    const counts = new Map<string, number>();
    let total = 0;
    const keyOf = (service: ServiceId, dataCentre: DataCentreId): string => `${service} ${dataCentre}`;
    return {
        adjust: ({ record }, change) => {
            const key = keyOf(record.service, record.dataCentre);
            counts.set(key, (counts.get(key) ?? 0) + change);
            total += change;
        },
        countAt: (service, dataCentre) => counts.get(keyOf(service, dataCentre)) ?? 0,
        total: () => total,
    };
}
