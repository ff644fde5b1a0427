/** A whole deployment on loopback addresses: store, targets, proxies between, and daemons as processes. */
import { createOperator, type Operator } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import type { RequestRun } from "@pimentospring/standin/direct/targetStandin";
import { setTimeout as sleep } from "node:timers/promises";
import { type Proxy, startProxy } from "../faults/proxy.js";
import { retainedVersionCount, versionProbePath } from "../promises/promises.js";
import { type ConfigurationVersion, prefixOf, type SoakRecord, type TargetDeparture } from "../promises/records.js";
import { createDaemon, type Daemon } from "./daemons.js";
import { regionByDataCentre } from "./daemonSettings.js";
import { createTargetHost, type TargetHost } from "./targetHosts.js";

export interface Cluster {
    readonly store: StoreStandin;
    readonly operator: Operator;
    readonly daemons: readonly Daemon[];
    readonly targetHosts: readonly TargetHost[];
    /** The way of each daemon to the store, in the order of the daemons. */
    readonly storeLinks: readonly Proxy[];
    readonly retrySlack: number;
    readonly loadRoutes: readonly LoadRoute[];
    sleep(ms: number): Promise<void>;
    /** Writes the next configuration. */
    writeNextConfiguration(): void;
    currentVersion(): number;
    /** Starts the daemon again, unless the cluster ends. */
    restart(daemon: Daemon): void;
    recordStop(daemon: Daemon): void;
    /** Runs an act on a slot that no other act uses; without one it does nothing. */
    withTargetHost(which: number, act: (slot: TargetHost) => Promise<void>): Promise<void>;
    otherService(slot: TargetHost): string;
    observations(): Pick<SoakRecord, "runs" | "versions" | "leavings" | "stops">;
    close(): Promise<void>;
}

export interface LoadRoute {
    readonly prefix: string;
    readonly isIdempotent: boolean;
    readonly services: Readonly<Record<string, number>>;
    readonly timeoutMs: number;
}

export interface ClusterOptions {
    /** Third byte of the loopback addresses, so that runs beside each other don't meet. */
    readonly loopbackSubnet: number;
    readonly folder: string;
}

const retrySlack = 50;
const firstPort = 17_510;
const objectiveMs = 300;
const versionTimeoutMs = 1_000;
const services = ["s", "t"];
/** Of the targets at most half are disturbed at once. */
const targetsOfDataCentre = 2;

const routesOfLoad: readonly LoadRoute[] = [
    { prefix: "/look/", isIdempotent: true, services: { s: 1 }, timeoutMs: 900 },
    { prefix: "/order/", isIdempotent: false, services: { s: 1 }, timeoutMs: 1_200 },
    { prefix: "/split/", isIdempotent: true, services: { s: 70, t: 30 }, timeoutMs: 1_500 },
];

export async function startCluster(options: ClusterOptions): Promise<Cluster> {
    const host = (last: number): string => `127.0.${options.loopbackSubnet}.${last}`;
    const store = await startStoreStandin(host(9));
    const operator = createOperator(store);
    const versions: ConfigurationVersion[] = [];
    const leavings: TargetDeparture[] = [];
    const stops: { readonly daemon: string; readonly run: number; readonly at: number; }[] = [];
    const allRuns: (readonly RequestRun[])[] = [];
    const busySlots = new Set<TargetHost>();
    let targets = 0;
    let isClosing = false;

    const configure = (): void => {
        const version = (versions.at(-1)?.version ?? 0) + 1;
        const probes = Array.from({ length: Math.min(version, retainedVersionCount) }, (_, back) => ({
            prefix: prefixOf(versionProbePath(version - back)),
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
    const slots: TargetHost[] = [];
    for (const [place, dataCentre] of Object.keys(regionByDataCentre).entries()) {
        for (let index = 0; index < targetsOfDataCentre * services.length; index++) {
            slots.push(
                await createTargetHost({
                    host: host(20 + place * 10 + index),
                    dataCentre,
                    service: services[index % services.length]!,
                    operator,
                    departures: leavings,
                    collectRuns: runs => allRuns.push(runs),
                    nextId: () => `t${++targets}`,
                    sleep,
                }),
            );
        }
    }
    const storeLinks: Proxy[] = [];
    const daemons: Daemon[] = [];
    const dataCentres = Object.keys(regionByDataCentre);
    for (const [index, dataCentre] of dataCentres.entries()) {
        const link = await startProxy(host(60 + index), store.address);
        storeLinks.push(link);
        const place = {
            name: `entry-${dataCentre}`,
            host: host(1 + index),
            firstPort,
            dataCentre,
            region: regionByDataCentre[dataCentre]!,
        };
        const seeds = dataCentres.map((_, other) => `${host(1 + other)}:${firstPort + 3}`);
        daemons.push(createDaemon({ placement: place, storeAddress: link.address, seeds, folder: options.folder, retrySlack }));
    }
    daemons.forEach(daemon => daemon.start());
    return {
        store,
        operator,
        daemons,
        targetHosts: slots,
        storeLinks,
        retrySlack,
        loadRoutes: routesOfLoad,
        sleep: async ms => {
            await sleep(ms);
        },
        writeNextConfiguration: configure,
        currentVersion: () => versions.at(-1)!.version,
        restart: daemon => {
            // Two faults may have ended the same process; it is started once.
            if (!isClosing && daemon.runs.at(-1)!.endedAt !== undefined) {
                daemon.start();
            }
        },
        recordStop: daemon => stops.push({ daemon: daemon.placement.name, run: daemon.runs.length - 1, at: performance.now() }),
        withTargetHost: async (which, act) => {
            const slot = slots[which % slots.length]!;
            if (busySlots.has(slot) || busySlots.size >= slots.length / 2) {
                return;
            }
            busySlots.add(slot);
            await act(slot);
            busySlots.delete(slot);
        },
        otherService: slot => services.find(service => service !== slot.service())!,
        observations: () => ({ runs: allRuns.flat(), versions, leavings, stops }),
        close: async () => {
            isClosing = true;
            daemons.forEach(daemon => daemon.signal("SIGKILL"));
            await Promise.all(daemons.map(daemon => daemon.waitForExit()));
            slots.forEach(slot => {
                slot.proxy.close();
                slot.currentTarget().close();
            });
            storeLinks.forEach(link => link.close());
            store.close();
        },
    };
}
