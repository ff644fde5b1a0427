/**
 * Smooth weighted round robin over a route's services. After any number of requests n services each differ from their
 * exact share by less than n requests.
 */
import type { ServiceId } from "../ids.js";
import type { Route } from "./steeringDocument.js";

export interface WeightedRoundRobin {
    /** The service that receives the route's next request. */
    nextService(route: Route): ServiceId;
    /** Removes state of routes that are no longer in the document. */
    retainRoutes(routes: readonly Route[]): void;
}

interface RouteState {
    readonly signature: string;
    readonly currentWeights: number[];
}

const signatureOf = (route: Route): string =>
    route.weightedServices.map(weighted => `${weighted.service}=${weighted.weight}`).join(",");

export function createWeightedRoundRobin(): WeightedRoundRobin {
    const states = new Map<string, RouteState>();
    const stateOf = (route: Route): RouteState => {
        const known = states.get(route.name);
        const signature = signatureOf(route);
        if (known?.signature === signature) {
            return known;
        }
        const state = { signature, currentWeights: route.weightedServices.map(() => 0) };
        states.set(route.name, state);
        return state;
    };
    return {
        nextService: route => {
            if (route.weightedServices.length === 1) {
                return route.weightedServices[0]!.service;
            }
            const currentWeights = stateOf(route).currentWeights;
            let total = 0;
            let best = 0;
            route.weightedServices.forEach((weighted, index) => {
                total += weighted.weight;
                currentWeights[index] = currentWeights[index]! + weighted.weight;
                if (currentWeights[index]! > currentWeights[best]!) {
                    best = index;
                }
            });
            currentWeights[best] = currentWeights[best]! - total;
            return route.weightedServices[best]!.service;
        },
        retainRoutes: routes => {
            const names = new Set(routes.map(route => route.name));
            [...states.keys()].filter(name => !names.has(name)).forEach(name => states.delete(name));
        },
    };
}
