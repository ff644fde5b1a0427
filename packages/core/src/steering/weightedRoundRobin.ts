/**
 * Deals a route's requests to its parts exactly by weight (smooth weighted round robin): after any number of requests
 * each part is less than one request a part away from its share.
 */
import type { ServiceId } from "../ids.js";
import type { Route } from "./steeringDocument.js";

export interface WeightedRoundRobin {
    /** The service that serves the route's next request. */
    nextService(route: Route): ServiceId;
    /** Forgets routes that are no longer in the document. */
    retainRoutes(routes: readonly Route[]): void;
}

interface Turn {
    readonly signature: string;
    readonly levels: number[];
}

const signatureOf = (route: Route): string => route.weightedServices.map(part => `${part.service}=${part.weight}`).join(",");

export function createWeightedRoundRobin(): WeightedRoundRobin {
    const turns = new Map<string, Turn>();
    const turnOf = (route: Route): Turn => {
        const known = turns.get(route.name);
        const signature = signatureOf(route);
        if (known?.signature === signature) {
            return known;
        }
        const turn = { signature, levels: route.weightedServices.map(() => 0) };
        turns.set(route.name, turn);
        return turn;
    };
    return {
        nextService: route => {
            if (route.weightedServices.length === 1) {
                return route.weightedServices[0]!.service;
            }
            const levels = turnOf(route).levels;
            let total = 0;
            let best = 0;
            route.weightedServices.forEach((part, index) => {
                total += part.weight;
                levels[index] = levels[index]! + part.weight;
                if (levels[index]! > levels[best]!) {
                    best = index;
                }
            });
            levels[best] = levels[best]! - total;
            return route.weightedServices[best]!.service;
        },
        retainRoutes: routes => {
            const names = new Set(routes.map(route => route.name));
            [...turns.keys()].filter(name => !names.has(name)).forEach(name => turns.delete(name));
        },
    };
}
