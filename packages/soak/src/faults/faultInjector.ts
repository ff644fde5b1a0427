/** What a fault injector is, and how it picks what it harms. */
import type { Cluster } from "../cluster/cluster.js";
import type { Daemon } from "../cluster/daemons.js";
import type { Fault } from "./schedule.js";

/** Applies a fault to a cluster and reverts it. */
export type FaultInjector = (cluster: Cluster, fault: Fault) => Promise<void>;

export const pick = <Item>(items: readonly Item[], fault: Fault): Item => items[fault.which % items.length]!;

export const onDaemon =
    (act: (daemon: Daemon, cluster: Cluster, fault: Fault) => Promise<void>): FaultInjector => (cluster, fault) =>
        act(pick(cluster.daemons, fault), cluster, fault);
