/** Finds the route of a request: by host, then by the longest matching path prefix. */
import type { Route, SteeringDocument } from "./steeringDocument.js";

export interface RouteTable {
    /** `path` may contain a query, which is ignored. */
    find(host: string, path: string): Route | undefined;
    /** Whether a request without a route may belong to one that could not be decoded. */
    isUnreadable(host: string, path: string): boolean;
}

/** Takes the place of a route that could not be decoded, so that its requests don't match a shorter prefix. */
const unreadable = Symbol("unreadable");

type Entry = Route | typeof unreadable;

/** Host names are compared case-insensitively and without a port. */
function normalizeHost(host: string): string {
    const colon = host.indexOf(":");
    return (colon === -1 ? host : host.slice(0, colon)).toLowerCase();
}

export function createRouteTable(document: SteeringDocument): RouteTable {
    const hosts = new Map<string, Map<string, Entry>>();
    const add = (host: string, prefix: string, entry: Entry): void => {
        const key = normalizeHost(host);
        const prefixes = hosts.get(key);
        if (prefixes === undefined) {
            hosts.set(key, new Map([[prefix, entry]]));
        }
        else {
            prefixes.set(prefix, entry);
        }
    };
    /** Hosts of routes whose prefix is unknown; `undefined` stands for a route whose host is unknown too. */
    const partlyUnknownHosts = new Set<string | undefined>();
    for (const { host, prefix } of document.unreadableRoutes) {
        if (host === undefined || prefix === undefined) {
            partlyUnknownHosts.add(host === undefined ? undefined : normalizeHost(host));
        }
        else {
            add(host, prefix, unreadable);
        }
    }
    document.routes.forEach(route => add(route.host, route.prefix, route));
    const entryFor = (host: string, path: string): Entry | undefined => {
        const prefixes = hosts.get(normalizeHost(host));
        return prefixes === undefined ? undefined : longestPrefix(prefixes, path);
    };
    return {
        find: (host, path) => {
            const entry = entryFor(host, path);
            return entry === unreadable ? undefined : entry;
        },
        isUnreadable: (host, path) => {
            const entry = entryFor(host, path);
            return entry === unreadable
                || (entry === undefined && (partlyUnknownHosts.has(undefined) || partlyUnknownHosts.has(normalizeHost(host))));
        },
    };
}

/**
 * Tries the path cut at each slash, longest first: one look-up for each path segment, whatever the number of routes.
 */
function longestPrefix(prefixes: ReadonlyMap<string, Entry>, path: string): Entry | undefined {
    const query = path.indexOf("?");
    let end = query === -1 ? path.length : query;
    while (end > 0) {
        const slash = path.lastIndexOf("/", end - 1);
        if (slash === -1) {
            return undefined;
        }
        const entry = prefixes.get(path.slice(0, slash + 1));
        if (entry !== undefined) {
            return entry;
        }
        end = slash;
    }
    return undefined;
}
