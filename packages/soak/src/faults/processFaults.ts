/** Faults of the daemons' processes: restarts that overlap, ports in use, settings that are being written, signals. */
import type { Cluster } from "../cluster/cluster.js";
import type { EndingSignal } from "../cluster/daemonProcess.js";
import type { Daemon } from "../cluster/daemons.js";
import { type FaultInjector, onDaemon } from "./faultInjector.js";
import { holdAddress } from "./portHold.js";
import type { Fault, ProcessFaultKind } from "./schedule.js";

/** Time between the end of a process that was told to stop and the start of the next one. */
export const restartDelayMs = 250;
/** Time for which a settings file is not whole; around a start it lasts until the program is loaded and reads it. */
const cutAtReloadMs = 150;
const cutAtStartMs = 800;
const maxHoldMs = 2_500;
const secondSignalDelayMs = 600;
const straySignals = ["SIGUSR1", "SIGUSR2", "SIGALRM", "SIGHUP", "SIGPIPE"] as const;
const stopSignals = ["SIGTERM", "SIGINT"] as const;
/** Parts of the settings' text that a reader may see. */
const keptFractions = [0, 0.25, 0.5, 0.75];
/** Names that TOML needs in quotes. */
const oddDataCentres = { "cpt.c": "cpt", "jhb south": "jhb" };

/** Picks by what is left of the fault's number once the daemon is picked. */
const pickVariant = <Item>(items: readonly Item[], cluster: Cluster, fault: Fault): Item =>
    items[Math.floor(fault.which / cluster.daemons.length) % items.length]!;

function requestStop(daemon: Daemon, cluster: Cluster, signal: EndingSignal): void {
    cluster.recordStop(daemon);
    daemon.signal(signal);
}

const overlap: FaultInjector = onDaemon(async (daemon, cluster) => {
    requestStop(daemon, cluster, "SIGTERM");
    // The end of the predecessor's process is not awaited.
    daemon.start();
    await cluster.sleep(0);
});

const portTaken: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    const listener = pickVariant(Object.keys(daemon.listen) as (keyof Daemon["listen"])[], cluster, fault);
    requestStop(daemon, cluster, "SIGTERM");
    await daemon.waitForExit();
    const from = performance.now();
    const release = await holdAddress(daemon.listen[listener]);
    cluster.restart(daemon);
    await cluster.sleep(Math.min(fault.forMs, maxHoldMs));
    release();
    if (listener === "callers") {
        cluster.recordObstacle(daemon, "portTaken", from);
    }
});

/** Rewrites the settings file in two halves, and acts before the second one. */
async function cutSettings(daemon: Daemon, cluster: Cluster, fault: Fault, forMs: number, act: () => void): Promise<void> {
    const from = performance.now();
    daemon.cutSettings(pickVariant(keptFractions, cluster, fault));
    act();
    await cluster.sleep(forMs);
    daemon.rewriteSettings({});
    cluster.recordObstacle(daemon, "cutSettings", from);
}

const cutSettingsStart: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    requestStop(daemon, cluster, "SIGTERM");
    await daemon.waitForExit();
    await cutSettings(daemon, cluster, fault, cutAtStartMs, () => cluster.restart(daemon));
});

const cutSettingsReload: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    await cutSettings(daemon, cluster, fault, cutAtReloadMs, () => daemon.signal("SIGHUP"));
    daemon.signal("SIGHUP");
});

const interrupt: FaultInjector = onDaemon(async (daemon, cluster) => {
    requestStop(daemon, cluster, "SIGINT");
    await daemon.waitForExit();
    await cluster.sleep(restartDelayMs);
    cluster.restart(daemon);
});

const stopTwice: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    requestStop(daemon, cluster, "SIGTERM");
    await cluster.sleep(secondSignalDelayMs);
    daemon.signal(pickVariant(stopSignals, cluster, fault));
    await daemon.waitForExit();
    await cluster.sleep(restartDelayMs);
    cluster.restart(daemon);
});

const straySignal: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    daemon.signal(pickVariant(straySignals, cluster, fault));
    await cluster.sleep(0);
});

const oddNames: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    requestStop(daemon, cluster, "SIGTERM");
    await daemon.waitForExit();
    daemon.rewriteSettings({ furtherDataCentres: oddDataCentres });
    cluster.restart(daemon);
    await cluster.sleep(fault.forMs);
    daemon.rewriteSettings({ furtherDataCentres: {} });
});

export const processFaultInjectors: Readonly<Record<ProcessFaultKind, FaultInjector>> = {
    daemonOverlap: overlap,
    daemonPortTaken: portTaken,
    daemonCutSettingsStart: cutSettingsStart,
    daemonCutSettingsReload: cutSettingsReload,
    daemonInterrupt: interrupt,
    daemonStopTwice: stopTwice,
    daemonStraySignal: straySignal,
    daemonOddNames: oddNames,
};
