/** Health checks of targets, which also report their load. */
import type { DataCentreId } from "@pimentospring/core/ids";
import type { Target } from "@pimentospring/core/steering/target";
import type { HealthCheckResult } from "@pimentospring/core/steering/targetHealth";
import { noNotice } from "@pimentospring/core/steering/targetRecord";
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
    readonly onResult: (target: Target, result: HealthCheckResult) => void;
}

export interface HealthChecks {
    /** Uses a new connection, so that a dead kept connection is not mistaken for a dead target. */
    check(target: Target): void;
}

const checkTimeoutMs = 700;
const unreached: HealthCheckResult = {
    isReached: false,
    isExpectedTarget: false,
    isHealthy: false,
    coldMs: undefined,
    load: undefined,
    notice: noNotice,
};

export function createHealthChecks(options: HealthChecksOptions): HealthChecks {
    const { connections, timer, headerCodec, onResult } = options;
    return {
        check: target => {
            const { id, address, dataCentre } = target.record;
            const timeoutMs = checkTimeoutMs + options.roundTripMs(dataCentre);
            let isOver = false;
            const finish = (result: HealthCheckResult): void => {
                if (!isOver) {
                    isOver = true;
                    cancelTimeout();
                    onResult(target, result);
                }
            };
            const outgoing = {
                id: undefined,
                method: "GET",
                path: options.healthPathOf(target),
                headers: ["Host", address],
                body: undefined,
            };
            const cancel = connections.send(address, outgoing, true, timeoutMs, {
                onWriteStart: () => {},
                isExpected: () => true,
                namedRequestId: () => undefined,
                onResponse: response =>
                    finish(headerCodec.decodeHealthResponse(response.status, headerReader(response.rawHeaders), id)),
                onFailure: () => finish(unreached),
            });
            const cancelTimeout = timer.after(timeoutMs, () => {
                cancel();
                finish(unreached);
            });
        },
    };
}
