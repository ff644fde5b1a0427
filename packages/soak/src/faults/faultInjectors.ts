/** Fault injectors: each applies one kind of fault to a cluster and reverts it. */
import type { TargetFault } from "@pimentospring/standin/direct/targetStandin";
import type { Cluster } from "../cluster/cluster.js";
import type { TargetHost } from "../cluster/targetHosts.js";
import { flood } from "./clientFlood.js";
import { type FaultInjector, onDaemon, pick } from "./faultInjector.js";
import { processFaultInjectors, restartDelayMs } from "./processFaults.js";
import type { ProxyFault } from "./proxy.js";
import { type Fault, type FaultKind, floodKinds, processKinds } from "./schedule.js";

const delayMs = 120;
const stormIntervalMs = 150;
const stormChangeCount = 8;
const reuseGraceMs = 400;
const olderStoreAwayMs = 300;
/** Targets write again what they wrote within about this time. */
const writeAgainDelayMs = 1_500;
const noFault: ProxyFault = { kind: "none" };

const onTargetHost =
    (act: (targetHost: TargetHost, cluster: Cluster, fault: Fault) => Promise<void>): FaultInjector => (cluster, fault) =>
        cluster.withTargetHost(fault.which, targetHost => act(targetHost, cluster, fault));

const kill = onDaemon(async (daemon, cluster, fault) => {
    daemon.signal("SIGKILL");
    await daemon.waitForExit();
    await cluster.sleep(fault.forMs);
    cluster.restart(daemon);
});

const stop = onDaemon(async (daemon, cluster) => {
    cluster.recordStop(daemon);
    daemon.signal("SIGTERM");
    await daemon.waitForExit();
    await cluster.sleep(restartDelayMs);
    cluster.restart(daemon);
});

const pause = onDaemon(async (daemon, cluster, fault) => {
    const resume = daemon.pause();
    await cluster.sleep(fault.forMs);
    resume();
});

const reload = onDaemon(async (daemon, cluster, fault) => {
    daemon.rewriteSettings({ retrySlack: cluster.retrySlack - (fault.which % 2) });
    daemon.signal("SIGHUP");
    await cluster.sleep(0);
});

const storeFault = (status: number): FaultInjector => async (cluster, fault) => {
    cluster.store.setFaultStatus(status);
    await cluster.sleep(fault.forMs);
    cluster.store.setFaultStatus(undefined);
};

const expireLeases: FaultInjector = async (cluster, fault) => {
    cluster.store.setFaultStatus(503);
    cluster.store.expireLeases();
    await cluster.sleep(fault.forMs);
    cluster.store.setFaultStatus(undefined);
};

/** The store is away for a moment and comes back as it was; the operator and the targets write again what they wrote. */
const comeBackOlder: FaultInjector = async (cluster, fault) => {
    const comeBack = cluster.store.copy();
    await cluster.sleep(fault.forMs);
    cluster.store.setFaultStatus(503);
    await cluster.sleep(olderStoreAwayMs);
    comeBack();
    cluster.store.setFaultStatus(undefined);
    await cluster.sleep(writeAgainDelayMs);
    cluster.operator.writeAgain();
    await cluster.sleep(writeAgainDelayMs);
};

const storeLink = (proxyFault: ProxyFault): FaultInjector => async (cluster, fault) => {
    const proxy = pick(cluster.storeLinks, fault);
    proxy.setFault(proxyFault);
    await cluster.sleep(fault.forMs);
    proxy.setFault(noFault);
};

const targetLink = (proxyFault: ProxyFault): FaultInjector =>
    onTargetHost(async (targetHost, cluster, fault) => {
        targetHost.proxy.setFault(proxyFault);
        await cluster.sleep(fault.forMs);
        targetHost.proxy.setFault(noFault);
    });

const targetFault = (targetFaultKind: TargetFault): FaultInjector =>
    onTargetHost(async (targetHost, cluster, fault) => {
        const target = targetHost.currentTarget();
        target.setFault(targetFaultKind);
        await cluster.sleep(fault.forMs);
        target.setFault("none");
    });

const configurationStorm: FaultInjector = async cluster => {
    for (let change = 0; change < stormChangeCount; change++) {
        cluster.writeNextConfiguration();
        await cluster.sleep(stormIntervalMs);
    }
};

const evacuation: FaultInjector = async (cluster, fault) => {
    const { dataCentre } = pick(cluster.targetHosts, fault);
    cluster.operator.evacuate(dataCentre, true);
    await cluster.sleep(fault.forMs);
    cluster.operator.evacuate(dataCentre, false);
};

export const faultInjectors: Readonly<Record<FaultKind, FaultInjector>> = {
    daemonKill: kill,
    daemonStop: stop,
    daemonPause: pause,
    daemonReload: reload,
    storeRefuses: storeFault(503),
    storeSilent: storeFault(0),
    storeLapse: expireLeases,
    storeCompact: async cluster => {
        cluster.store.compact();
        await cluster.sleep(0);
    },
    storeComesBackOlder: comeBackOlder,
    daemonFlooded: flood,
    storeLinkDelay: storeLink({ kind: "delay", delayMs }),
    storeLinkReset: storeLink({ kind: "reset" }),
    storeLinkSilence: storeLink({ kind: "silence" }),
    storeLinkCutUp: storeLink({ kind: "cutUp" }),
    storeLinkCutDown: storeLink({ kind: "cutDown" }),
    targetLinkDelay: targetLink({ kind: "delay", delayMs }),
    targetLinkReset: targetLink({ kind: "reset" }),
    targetLinkSilence: targetLink({ kind: "silence" }),
    targetLinkCutUp: targetLink({ kind: "cutUp" }),
    targetLinkCutDown: targetLink({ kind: "cutDown" }),
    targetLeave: onTargetHost((targetHost, _cluster, fault) => targetHost.replace(targetHost.service(), fault.forMs)),
    targetReuse: onTargetHost((targetHost, cluster) => targetHost.replace(cluster.otherService(targetHost), reuseGraceMs)),
    targetCrash: onTargetHost((targetHost, _cluster, fault) => targetHost.crash(fault.forMs)),
    targetLosesAnswers: targetFault("loseAnswer"),
    targetSheds: targetFault("shed"),
    targetExtraAnswers: targetFault("extraAnswer"),
    targetCutsAnswers: targetFault("cutAnswer"),
    targetRepeatsRefusals: targetFault("repeatRefusal"),
    targetSpoilsStatusLines: targetFault("spoilStatusLine"),
    targetResetsAnswers: targetFault("resetAnswer"),
    targetResetsAnswersLate: targetFault("resetAnswerLate"),
    targetAnswersTwice: targetFault("answerTwice"),
    targetAnswersTwiceLate: targetFault("answerTwiceLate"),
    targetRepeatsAnswers: targetFault("repeatAnswer"),
    targetSaysLeaving: onTargetHost((targetHost, _cluster, fault) => targetHost.sayLeaving(fault.forMs)),
    targetPauses: onTargetHost(async (targetHost, cluster, fault) => {
        targetHost.pauseFor(fault.forMs);
        await cluster.sleep(fault.forMs);
    }),
    configuration: async cluster => {
        cluster.writeNextConfiguration();
        await cluster.sleep(0);
    },
    configurationStorm,
    evacuation,
    ...processFaultInjectors,
};

/** Faults of a daemon, or of its process, that must not disturb requests. */
const undisturbing: ReadonlySet<FaultKind> = new Set(["daemonStop", "daemonReload", ...floodKinds, ...processKinds]);

/** Name of the daemon that a fault disturbs, `"*"` for all daemons, or undefined for none. */
export function affectedDaemon(cluster: Cluster, fault: Fault): string | undefined {
    if (fault.kind.startsWith("daemon")) {
        // A stop has its own promise check, by the time of its signal.
        return undisturbing.has(fault.kind)
            ? undefined
            : pick(cluster.daemons, fault).placement.name;
    }
    if (fault.kind.startsWith("storeLink")) {
        return pick(cluster.daemons, fault).placement.name;
    }
    if (fault.kind === "targetSaysLeaving" || fault.kind === "targetPauses") {
        return undefined;
    }
    return fault.kind.startsWith("store") || fault.kind.startsWith("target") ? "*" : undefined;
}
