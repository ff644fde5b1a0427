/** Finds the route of a request: by host, then by the longest matching path prefix. */
import type { Route, SteeringDocument } from "./steeringDocument.js";

export interface RouteTable {
    /** `path` may contain a query, which is ignored. */
    find(host: string, path: string): Route | undefined;
}

/** Host names are compared case-insensitively and without a port. */
function normalizeHost(host: string): string {
    const colon = host.indexOf(":");
    return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}

export function createRouteTable(document: SteeringDocument): RouteTable {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of document.routes) {
        const host = normalizeHost(route.host);
        let prefixes = hosts.get(host);
        if (prefixes === undefined) {
            prefixes = new Map();
            hosts.set(host, prefixes);
        }
        prefixes.set(route.prefix, route);
    }
    return {
        find: (host, path) => {
            const prefixes = hosts.get(normalizeHost(host));
            return prefixes === undefined ? undefined : longestPrefix(prefixes, path);
        },
    };
}

/**
 * Tries the path cut at each slash, longest first: one look-up for each path segment, whatever the number of routes.
 */
function longestPrefix(prefixes: ReadonlyMap<string, Route>, path: string): Route | undefined {
    const query = path.indexOf("?");
    let end = query === -1 ? path.length : query;
    while (end > 0) {
        const slash = path.lastIndexOf("/", end - 1);
        if (slash === -1) {
            return undefined;
        }
        const route = prefixes.get(path.slice(0, slash + 1));
        if (route !== undefined) {
            return route;
        }
        end = slash;
    }
    return undefined;
}
