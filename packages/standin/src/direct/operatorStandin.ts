/** Stand-in for the operator and for targets' announcements on the users' platform: writes their items to the store. */
import type { StoreStandin } from "./storeStandin.js";

export interface RouteItem {
    readonly prefix: string;
    readonly isIdempotent: boolean;
    /** Services and their weights. */
    readonly parts: Readonly<Record<string, number>>;
    readonly timeoutMs: number;
    readonly objectiveMs: number;
}

export interface TargetItem {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly slots: number;
    readonly isDraining: boolean;
    /** Start time in Unix milliseconds. */
    readonly startedAt: number;
}

export interface WorkspaceItem {
    readonly name: string;
    readonly keys: readonly unknown[];
    readonly homeRegions?: readonly string[];
    readonly ratePerSecond?: number;
}

export interface Operator {
    configure(version: number, routes: readonly RouteItem[], workspaces?: readonly WorkspaceItem[]): void;
    announce(target: TargetItem): void;
    withdraw(targetId: string): void;
    /** Starts or ends the evacuation of a data centre, during which its targets get no requests. */
    evacuate(dataCentre: string, isEvacuated: boolean): void;
    /** Writes and removes again what a store that came back from an older copy may have lost. */
    writeAgain(): void;
}

export const standinHost = "a.example";
const targetKey = (id: string): string => `servers/${id}`;

export function createOperator(store: StoreStandin): Operator {
    let sequence = 0;
    /** What was written last under each key; `undefined` where it was removed. */
    const written = new Map<string, object | undefined>();
    const apply = (value: object | undefined, key: string): void => {
        if (value === undefined) {
            store.remove(key);
        }
        else {
            store.put(key, value);
        }
    };
    const write = (key: string, value: object | undefined): void => {
        written.set(key, value);
        apply(value, key);
    };
    const routeItem = (route: RouteItem): object => ({
        resourceKind: "routes",
        metadata: { name: route.prefix },
        specification: {
            host: standinHost,
            prefix: route.prefix,
            kind: route.isIdempotent ? "safe" : "unsafe",
            timeout: `${route.timeoutMs}ms`,
            targetLatency: `${route.objectiveMs}ms`,
            priority: 1,
            trafficSplit: Object.entries(route.parts).map(([service, weight]) => ({ service, weight })),
            attempts: 2,
            stickySessions: false,
            homeRegions: [],
        },
    });
    const workspaceItem = ({ name, keys, homeRegions, ratePerSecond }: WorkspaceItem): object => ({
        resourceKind: "tenants",
        metadata: { name },
        specification: { apiKeys: keys, homeRegions, ratePerS: ratePerSecond, burst: ratePerSecond },
    });
    return {
        configure: (version, routes, workspaces = []) => {
            const services = [...new Set(routes.flatMap(route => Object.keys(route.parts)))].map(name => ({
                resourceKind: "services",
                metadata: { name },
                specification: { healthCheckPath: "/health" },
            }));
            write("op/config", {
                version,
                resources: [...routes.map(routeItem), ...services, ...workspaces.map(workspaceItem)],
            });
        },
        announce: target =>
            write(targetKey(target.id), {
                service: target.service,
                address: target.address,
                zone: target.dataCentre,
                version: "v1",
                slots: target.slots,
                state: target.isDraining ? "draining" : "ready",
                coldRemaining: "0ms",
                sequence: ++sequence,
                born: target.startedAt,
            }),
        withdraw: id => write(targetKey(id), undefined),
        evacuate: (dataCentre, isEvacuated) => write(`op/evacuate/${dataCentre}`, isEvacuated ? {} : undefined),
        writeAgain: () => written.forEach(apply),
    };
}
