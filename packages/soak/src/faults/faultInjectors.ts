/** Applies faults to a cluster and takes them back, each kind in its own way. */
import type { Cluster } from "../cluster/cluster.js";
import type { Daemon } from "../cluster/daemons.js";
import type { TargetHost } from "../cluster/targetHosts.js";
import type { ProxyFault } from "./proxy.js";
import type { Fault, FaultKind } from "./schedule.js";

const delayMs = 120;
const stormGapMs = 150;
const stormChanges = 8;
const afterDrainMs = 400;
const restartMs = 250;
const calm: ProxyFault = { kind: "none" };

type FaultInjector = (cluster: Cluster, fault: Fault) => Promise<void>;

const pick = <Item>(items: readonly Item[], fault: Fault): Item => items[fault.which % items.length]!;

const onDaemon = (act: (daemon: Daemon, cluster: Cluster, fault: Fault) => Promise<void>): FaultInjector => (cluster, fault) =>
    act(pick(cluster.daemons, fault), cluster, fault);

const onSlot = (act: (slot: TargetHost, cluster: Cluster, fault: Fault) => Promise<void>): FaultInjector => (cluster, fault) =>
    cluster.withTargetHost(fault.which, slot => act(slot, cluster, fault));

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
    await cluster.sleep(restartMs);
    cluster.restart(daemon);
});

const pause = onDaemon(async (daemon, cluster, fault) => {
    daemon.signal("SIGSTOP");
    await cluster.sleep(fault.forMs);
    daemon.signal("SIGCONT");
});

const reload = onDaemon(async (daemon, cluster, fault) => {
    daemon.rewriteSettings(cluster.retrySlack - (fault.which % 2));
    daemon.signal("SIGHUP");
    await cluster.sleep(0);
});

const storeStatus = (status: number): FaultInjector => async (cluster, fault) => {
    cluster.store.setFaultStatus(status);
    await cluster.sleep(fault.forMs);
    cluster.store.setFaultStatus(undefined);
};

const storeLapse: FaultInjector = async (cluster, fault) => {
    cluster.store.setFaultStatus(503);
    cluster.store.expireLeases();
    await cluster.sleep(fault.forMs);
    cluster.store.setFaultStatus(undefined);
};

const storeLink = (harm: ProxyFault): FaultInjector => async (cluster, fault) => {
    const proxy = pick(cluster.storeLinks, fault);
    proxy.setFault(harm);
    await cluster.sleep(fault.forMs);
    proxy.setFault(calm);
};

const targetLink = (harm: ProxyFault): FaultInjector =>
    onSlot(async (slot, cluster, fault) => {
        slot.proxy.setFault(harm);
        await cluster.sleep(fault.forMs);
        slot.proxy.setFault(calm);
    });

const targetFault = (harm: "loseAnswer" | "shed" | "extraAnswer" | "cutAnswer"): FaultInjector =>
    onSlot(async (slot, cluster, fault) => {
        const target = slot.currentTarget();
        target.setFault(harm);
        await cluster.sleep(fault.forMs);
        target.setFault("none");
    });

const storm: FaultInjector = async cluster => {
    for (let change = 0; change < stormChanges; change++) {
        cluster.writeNextConfiguration();
        await cluster.sleep(stormGapMs);
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
    storeRefuses: storeStatus(503),
    storeSilent: storeStatus(0),
    storeLapse,
    storeCompact: async cluster => {
        cluster.store.compact();
        await cluster.sleep(0);
    },
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
    targetLeave: onSlot((slot, _cluster, fault) => slot.replace(slot.service(), fault.forMs)),
    targetReuse: onSlot((slot, cluster) => slot.replace(cluster.otherService(slot), afterDrainMs)),
    targetCrash: onSlot((slot, _cluster, fault) => slot.crash(fault.forMs)),
    targetLosesAnswers: targetFault("loseAnswer"),
    targetSheds: targetFault("shed"),
    targetExtraAnswers: targetFault("extraAnswer"),
    targetCutsAnswers: targetFault("cutAnswer"),
    configuration: async cluster => {
        cluster.writeNextConfiguration();
        await cluster.sleep(0);
    },
    configurationStorm: storm,
    evacuation,
};

/** Daemons that a fault disturbs: one by its index, or all. */
export function affectedDaemon(cluster: Cluster, fault: Fault): string | undefined {
    if (fault.kind.startsWith("daemon")) {
        // A stop is planned work; its own promise is judged by when it was sent.
        return fault.kind === "daemonStop" || fault.kind === "daemonReload"
            ? undefined
            : pick(cluster.daemons, fault).placement.name;
    }
    if (fault.kind.startsWith("storeLink")) {
        return pick(cluster.daemons, fault).placement.name;
    }
    return fault.kind.startsWith("store") || fault.kind.startsWith("target") ? "*" : undefined;
}
