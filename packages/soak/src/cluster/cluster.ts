/** A whole deployment on loopback addresses: store, targets, proxies between, and daemons as processes. */
import { createOperator, type Operator } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import type { Run } from "@pimentospring/standin/direct/targetStandin";
import { setTimeout as sleep } from "node:timers/promises";
import { type Proxy, startProxy } from "../faults/proxy.js";
import { keptVersions, versionPath } from "../promises/promises.js";
import { type Leaving, prefixOf, type SoakRecord, type Version } from "../promises/records.js";
import { createDaemon, type Daemon } from "./daemons.js";
import { regions } from "./settingsText.js";
import { createSlot, type Slot } from "./targets.js";

export interface Cluster {
    readonly store: StoreStandin;
    readonly operator: Operator;
    readonly daemons: readonly Daemon[];
    readonly slots: readonly Slot[];
    /** The way of each daemon to the store, in the order of the daemons. */
    readonly storeLinks: readonly Proxy[];
    readonly retrySlack: number;
    readonly routes: readonly RouteOfLoad[];
    sleep(ms: number): Promise<void>;
    /** Writes the next configuration. */
    configure(): void;
    version(): number;
    /** Starts the daemon again, unless the cluster ends. */
    restart(daemon: Daemon): void;
    noteStop(daemon: Daemon): void;
    /** Runs an act on a slot that no other act uses; without one it does nothing. */
    withSlot(which: number, act: (slot: Slot) => Promise<void>): Promise<void>;
    otherService(slot: Slot): string;
    record(): Pick<SoakRecord, "runs" | "versions" | "leavings" | "stops">;
    close(): Promise<void>;
}

export interface RouteOfLoad {
    readonly prefix: string;
    readonly isIdempotent: boolean;
    readonly services: Readonly<Record<string, number>>;
    readonly timeoutMs: number;
}

export interface ClusterOptions {
    /** Third byte of the loopback addresses, so that runs beside each other don't meet. */
    readonly net: number;
    readonly folder: string;
}

const retrySlack = 50;
const firstPort = 17_510;
const objectiveMs = 300;
const versionTimeoutMs = 1_000;
const services = ["s", "t"];
/** Of the targets at most half are disturbed at once. */
const targetsOfDataCentre = 2;

const routesOfLoad: readonly RouteOfLoad[] = [
    { prefix: "/look/", isIdempotent: true, services: { s: 1 }, timeoutMs: 900 },
    { prefix: "/order/", isIdempotent: false, services: { s: 1 }, timeoutMs: 1_200 },
    { prefix: "/split/", isIdempotent: true, services: { s: 70, t: 30 }, timeoutMs: 1_500 },
];

export async function startCluster(options: ClusterOptions): Promise<Cluster> {
    const host = (last: number): string => `127.0.${options.net}.${last}`;
    const store = await startStoreStandin(host(9));
    const operator = createOperator(store);
    const versions: Version[] = [];
    const leavings: Leaving[] = [];
    const stops: { readonly daemon: string; readonly run: number; readonly at: number; }[] = [];
    const allRuns: (readonly Run[])[] = [];
    const busySlots = new Set<Slot>();
    let targets = 0;
    let isClosing = false;

    const configure = (): void => {
        const version = (versions.at(-1)?.version ?? 0) + 1;
        const probes = Array.from({ length: Math.min(version, keptVersions) }, (_, back) => ({
            prefix: prefixOf(versionPath(version - back)),
            isIdempotent: true,
            services: { s: 1 },
            timeoutMs: versionTimeoutMs,
        }));
        const routes = [...routesOfLoad, ...probes];
        operator.configure(version, routes.map(route => ({ ...route, parts: route.services, objectiveMs })));
        const allowed = Object.fromEntries(routes.map(route => [route.prefix, Object.keys(route.services)]));
        versions.push({ version, writtenAt: performance.now(), services: allowed });
    };
    configure();
    const slots: Slot[] = [];
    for (const [place, dataCentre] of Object.keys(regions).entries()) {
        for (let index = 0; index < targetsOfDataCentre * services.length; index++) {
            slots.push(
                await createSlot({
                    host: host(20 + place * 10 + index),
                    dataCentre,
                    service: services[index % services.length]!,
                    operator,
                    leavings,
                    collect: runs => allRuns.push(runs),
                    nextId: () => `t${++targets}`,
                    sleep,
                }),
            );
        }
    }
    const storeLinks: Proxy[] = [];
    const daemons: Daemon[] = [];
    const dataCentres = Object.keys(regions);
    for (const [index, dataCentre] of dataCentres.entries()) {
        const link = await startProxy(host(60 + index), store.address);
        storeLinks.push(link);
        const place = { name: `entry-${dataCentre}`, host: host(1 + index), firstPort, dataCentre, region: regions[dataCentre]! };
        const seeds = dataCentres.map((_, other) => `${host(1 + other)}:${firstPort + 3}`);
        daemons.push(createDaemon({ place, store: link.address, seeds, folder: options.folder, retrySlack }));
    }
    daemons.forEach(daemon => daemon.start());
    return {
        store,
        operator,
        daemons,
        slots,
        storeLinks,
        retrySlack,
        routes: routesOfLoad,
        sleep: async ms => {
            await sleep(ms);
        },
        configure,
        version: () => versions.at(-1)!.version,
        restart: daemon => {
            // Two faults may have ended the same process; it is started once.
            if (!isClosing && daemon.runs.at(-1)!.endedAt !== undefined) {
                daemon.start();
            }
        },
        noteStop: daemon => stops.push({ daemon: daemon.place.name, run: daemon.runs.length - 1, at: performance.now() }),
        withSlot: async (which, act) => {
            const slot = slots[which % slots.length]!;
            if (busySlots.has(slot) || busySlots.size >= slots.length / 2) {
                return;
            }
            busySlots.add(slot);
            await act(slot);
            busySlots.delete(slot);
        },
        otherService: slot => services.find(service => service !== slot.service())!,
        record: () => ({ runs: allRuns.flat(), versions, leavings, stops }),
        close: async () => {
            isClosing = true;
            daemons.forEach(daemon => daemon.signal("SIGKILL"));
            await Promise.all(daemons.map(daemon => daemon.ended()));
            slots.forEach(slot => {
                slot.proxy.close();
                slot.current().close();
            });
            storeLinks.forEach(link => link.close());
            store.close();
        },
    };
}
