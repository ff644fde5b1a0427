/** Asks targets whether they live, and how loaded they are. */
import type { DataCentreId } from "@pimentospring/core/ids";
import type { Target } from "@pimentospring/core/steering/target";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Wire } from "../wire/wire.js";
import { headerReader } from "./headers.js";
import type { TargetConnections } from "./targetConnections.js";

export interface HealthChecksOptions {
    readonly connections: TargetConnections;
    readonly timer: Timer;
    readonly wire: Wire;
    readonly pathOf: (target: Target) => string;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly checked: (target: Target, answer: HealthCheckResult) => void;
}

export interface HealthChecks {
    /** Over a connection of its own, so that a silent one is not mistaken for the target. */
    check(target: Target): void;
}

const timeoutMs = 700;
const unreached: HealthCheckResult = {
    isReached: false,
    isExpectedTarget: false,
    isHealthy: false,
    coldMs: undefined,
    load: undefined,
};

export function createHealthChecks(options: HealthChecksOptions): HealthChecks {
    const { connections, timer, wire, checked } = options;
    return {
        check: target => {
            const { id, address, dataCentre } = target.record;
            const limitMs = timeoutMs + options.roundTripMs(dataCentre);
            let isOver = false;
            const finish = (answer: HealthCheckResult): void => {
                if (!isOver) {
                    isOver = true;
                    cancelTimeout();
                    checked(target, answer);
                }
            };
            const outgoing = { method: "GET", path: options.pathOf(target), headers: ["Host", address], body: undefined };
            const cancel = connections.send(address, outgoing, true, limitMs, {
                written: () => {},
                accepts: () => true,
                answered: answer => finish(wire.readHealth(answer.status, headerReader(answer.rawHeaders), id)),
                broken: () => finish(unreached),
            });
            const cancelTimeout = timer.after(limitMs, () => {
                cancel();
                finish(unreached);
            });
        },
    };
}
