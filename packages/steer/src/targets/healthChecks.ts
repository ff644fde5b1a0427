/** Asks targets whether they live, and how loaded they are. */
import type { DataCentreId } from "@pimentospring/core/ids";
import type { Target } from "@pimentospring/core/steering/target";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";
import type { Timer } from "@pimentospring/core/time/timer";
import type { HeaderCodec } from "../wire/headerCodec.js";
import { headerReader } from "./headers.js";
import type { TargetConnections } from "./targetConnections.js";

export interface HealthChecksOptions {
    readonly connections: TargetConnections;
    readonly timer: Timer;
    readonly headerCodec: HeaderCodec;
    readonly healthPathOf: (target: Target) => string;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly onResult: (target: Target, answer: HealthCheckResult) => void;
}

export interface HealthChecks {
    /** Over a connection of its own, so that a silent one is not mistaken for the target. */
    check(target: Target): void;
}

const checkTimeoutMs = 700;
const unreached: HealthCheckResult = {
    isReached: false,
    isExpectedTarget: false,
    isHealthy: false,
    coldMs: undefined,
    load: undefined,
};

export function createHealthChecks(options: HealthChecksOptions): HealthChecks {
    const { connections, timer, headerCodec: wire, onResult: checked } = options;
    return {
        check: target => {
            const { id, address, dataCentre } = target.record;
            const limitMs = checkTimeoutMs + options.roundTripMs(dataCentre);
            let isOver = false;
            const finish = (answer: HealthCheckResult): void => {
                if (!isOver) {
                    isOver = true;
                    cancelTimeout();
                    checked(target, answer);
                }
            };
            const outgoing = { method: "GET", path: options.healthPathOf(target), headers: ["Host", address], body: undefined };
            const cancel = connections.send(address, outgoing, true, limitMs, {
                onWriteStart: () => {},
                isExpected: () => true,
                onResponse: answer => finish(wire.decodeHealthResponse(answer.status, headerReader(answer.rawHeaders), id)),
                onFailure: () => finish(unreached),
            });
            const cancelTimeout = timer.after(limitMs, () => {
                cancel();
                finish(unreached);
            });
        },
    };
}
