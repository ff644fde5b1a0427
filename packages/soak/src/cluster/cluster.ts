/** A complete deployment on loopback addresses: store, targets, proxies between them, and daemons as processes. */
import type { Random } from "@pimentospring/core/random/random";
import { createOperator, type Operator } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin, type StoreStandin } from "@pimentospring/standin/direct/storeStandin";
import type { AnswerShape } from "@pimentospring/standin/direct/targetAnswer";
import type { RequestRun, TurnedAway } from "@pimentospring/standin/direct/targetStandin";
import { setTimeout as sleep } from "node:timers/promises";
import { type Proxy, startProxy } from "../faults/proxy.js";
import { retainedVersionCount, versionProbePath } from "../promises/promises.js";
import {
    type ConfigurationVersion,
    type FaultSpan,
    prefixOf,
    type SoakRecord,
    type TargetDeparture,
    type TargetNoticeSpan,
} from "../promises/records.js";
import { createDaemon, type Daemon } from "./daemons.js";
import { controlAddress, regionByDataCentre } from "./daemonSettings.js";
import { createTargetHost, type TargetHost } from "./targetHosts.js";

export interface Cluster {
    readonly store: StoreStandin;
    readonly operator: Operator;
    readonly daemons: readonly Daemon[];
    readonly targetHosts: readonly TargetHost[];
    /** Proxy between each daemon and the store, in the order of the daemons. */
    readonly storeLinks: readonly Proxy[];
    readonly retrySlack: number;
    readonly loadRoutes: readonly LoadRoute[];
    sleep(ms: number): Promise<void>;
    /** Writes the next configuration. */
    writeNextConfiguration(): void;
    currentVersion(): number;
    /** Restarts the daemon, unless the cluster is closing. */
    restart(daemon: Daemon): void;
    recordStop(daemon: Daemon): void;
    /** Records that the daemon could not start from `from` until now. */
    recordObstacle(daemon: Daemon, kind: string, from: number): void;
    /** Runs `act` on the target host, unless it or half of all target hosts are in use by other acts. */
    withTargetHost(which: number, act: (targetHost: TargetHost) => Promise<void>): Promise<void>;
    otherService(targetHost: TargetHost): string;
    observations(): ClusterObservations;
    close(): Promise<void>;
}

export type ClusterObservations = Omit<SoakRecord, "outcomes" | "disturbances" | "isAtLimits" | "calmFrom" | "endedAt">;

export interface LoadRoute {
    readonly prefix: string;
    readonly isIdempotent: boolean;
    readonly services: Readonly<Record<string, number>>;
    readonly timeoutMs: number;
}

export interface ClusterOptions {
    /** Third byte of the loopback addresses; parallel runs need different ones. */
    readonly loopbackSubnet: number;
    readonly folder: string;
    /** Draws the shapes of the targets' answers. */
    readonly answerRandom: Random;
    /** Whether the seeds come after each start, as on a platform that starts all machines at once. */
    readonly haveLateSeeds: boolean;
}

const retrySlack = 50;
const firstPort = 17_510;
const objectiveMs = 300;
const versionTimeoutMs = 1_000;
/** Time after which a process that ended by itself is started again. */
const restartDelayMs = 250;
const services = ["s", "t"];
/** Faults disturb at most half of all targets at once, see `withTargetHost`. */
const targetsPerServiceAndDataCentre = 2;

/** One in this many answers has no length; one in two is longer than a short text. */
const withoutLengthInterval = 3;
const longerTextInterval = 2;
const minTextBytes = 300;
const maxTextBytes = 30_000;

function drawAnswerShape(random: Random): AnswerShape {
    const hasLength = random.below(withoutLengthInterval) !== 0;
    const isShort = random.below(longerTextInterval) !== 0;
    return { hasLength, byteCount: isShort ? undefined : minTextBytes + random.below(maxTextBytes - minTextBytes) };
}

const loadRoutes: readonly LoadRoute[] = [
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
    const notices: TargetNoticeSpan[] = [];
    const crashes: number[] = [];
    const obstacles: FaultSpan[] = [];
    const allRuns: (readonly RequestRun[])[] = [];
    const allTurnedAway: (readonly TurnedAway[])[] = [];
    const busyTargetHosts = new Set<TargetHost>();
    let targetCount = 0;
    let isClosing = false;

    const writeNextConfiguration = (): void => {
        const version = (versions.at(-1)?.version ?? 0) + 1;
        const probes = Array.from({ length: Math.min(version, retainedVersionCount) }, (_, back) => ({
            prefix: prefixOf(versionProbePath(version - back)),
            isIdempotent: true,
            services: { s: 1 },
            timeoutMs: versionTimeoutMs,
        }));
        const routes = [...loadRoutes, ...probes];
        operator.configure(version, routes.map(route => ({ ...route, parts: route.services, objectiveMs })));
        const allowed = Object.fromEntries(routes.map(route => [route.prefix, Object.keys(route.services)]));
        versions.push({ version, writtenAt: performance.now(), services: allowed });
    };
    writeNextConfiguration();
    const targetHosts: TargetHost[] = [];
    for (const [dataCentreIndex, dataCentre] of Object.keys(regionByDataCentre).entries()) {
        for (let index = 0; index < targetsPerServiceAndDataCentre * services.length; index++) {
            targetHosts.push(
                await createTargetHost({
                    host: host(20 + dataCentreIndex * 10 + index),
                    dataCentre,
                    service: services[index % services.length]!,
                    operator,
                    departures: leavings,
                    notices,
                    crashes,
                    collectRuns: runs => allRuns.push(runs),
                    collectTurnedAway: turnedAway => allTurnedAway.push(turnedAway),
                    drawAnswer: () => drawAnswerShape(options.answerRandom),
                    nextId: () => `t${++targetCount}`,
                    sleep,
                }),
            );
        }
    }
    const restart = (daemon: Daemon): void => {
        // Two faults may have ended the same process; it must be started only once.
        if (!isClosing && daemon.runs.at(-1)!.endedAt !== undefined) {
            daemon.start();
        }
    };
    const storeLinks: Proxy[] = [];
    const daemons: Daemon[] = [];
    const dataCentres = Object.keys(regionByDataCentre);
    for (const [index, dataCentre] of dataCentres.entries()) {
        const link = await startProxy(host(60 + index), store.address);
        storeLinks.push(link);
        const placement = {
            name: `entry-${dataCentre}`,
            host: host(1 + index),
            firstPort,
            dataCentre,
            region: regionByDataCentre[dataCentre]!,
        };
        const seeds = dataCentres.map((_, other) => controlAddress(host(1 + other), firstPort));
        daemons.push(
            createDaemon({
                settings: { placement, storeAddress: link.address, seeds, retrySlack },
                folder: options.folder,
                haveLateSeeds: options.haveLateSeeds,
                onUnaskedEnd: daemon => void setTimeout(() => restart(daemon), restartDelayMs),
            }),
        );
    }
    daemons.forEach(daemon => daemon.start());
    return {
        store,
        operator,
        daemons,
        targetHosts,
        storeLinks,
        retrySlack,
        loadRoutes,
        sleep: async ms => {
            await sleep(ms);
        },
        writeNextConfiguration,
        currentVersion: () => versions.at(-1)!.version,
        restart,
        recordStop: daemon => stops.push({ daemon: daemon.placement.name, run: daemon.runs.length - 1, at: performance.now() }),
        recordObstacle: (daemon, kind, from) =>
            void obstacles.push({ daemon: daemon.placement.name, kind, from, to: performance.now() }),
        withTargetHost: async (which, act) => {
            const targetHost = targetHosts[which % targetHosts.length]!;
            if (busyTargetHosts.has(targetHost) || busyTargetHosts.size >= targetHosts.length / 2) {
                return;
            }
            busyTargetHosts.add(targetHost);
            await act(targetHost);
            busyTargetHosts.delete(targetHost);
        },
        otherService: targetHost => services.find(service => service !== targetHost.service())!,
        observations: () => ({
            runs: allRuns.flat(),
            versions,
            leavings,
            stops,
            notices,
            crashes,
            obstacles,
            daemonRuns: daemons.flatMap(daemon => daemon.runs),
            turnedAway: allTurnedAway.flat(),
        }),
        close: async () => {
            isClosing = true;
            await Promise.all(daemons.map(daemon => daemon.close()));
            targetHosts.forEach(targetHost => {
                targetHost.proxy.close();
                targetHost.currentTarget().close();
            });
            storeLinks.forEach(link => link.close());
            store.close();
        },
    };
}
