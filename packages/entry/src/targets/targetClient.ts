/** Sends requests to targets with undici and classifies failures by whether any byte may have been written. */
import { results } from "@pimentospring/core/results/resultCode";
import type { TargetNotice } from "@pimentospring/core/steering/targetRecord";
import { type Dispatcher, Pool } from "undici";
import { probeTimeoutMs, targetConnectTimeoutMs, targetIdleTimeoutMs } from "../constants.js";
import { type AttemptHandle, type AttemptListener, endToEndHeaders, type OutgoingRequest } from "../exchange/exchange.js";
import { createPausableClient } from "./pausableConnection.js";

/** Header with which a target that responds with status 503 declares that it did not start the request. */
const notStartedHeader = "x-not-started";

/** Header with the value 1 in each response of a target that leaves. */
const leavingHeader = "x-leaving";
const msPerSecond = 1_000;
/** Responses with a lower status are interim ones, which announce the response. */
const minFinalStatus = 200;

export interface TargetClient {
    send(address: string, request: OutgoingRequest, remainingMs: number, listener: AttemptListener): AttemptHandle;
    /** Checks the target's health over a separate connection. */
    probe(address: string): Promise<boolean>;
    close(): Promise<void>;
}

export function createTargetClient(): TargetClient {
    const pools = new Map<string, Pool>();
    const poolOf = (address: string): Pool => {
        let pool = pools.get(address);
        if (pool === undefined) {
            pool = createPool(address);
            pools.set(address, pool);
        }
        return pool;
    };
    const probe = async (address: string): Promise<boolean> => {
        const pool = createPool(address);
        try {
            const answer = await pool.request({ method: "GET", path: "/health", signal: AbortSignal.timeout(probeTimeoutMs) });
            await answer.body.dump();
            return answer.statusCode === 200;
        }
        catch {
            return false;
        }
        finally {
            void pool.destroy();
        }
    };
    return {
        send: (address, request, remainingMs, listener) => sendTo(poolOf(address), request, remainingMs, listener),
        probe,
        close: async () => {
            await Promise.all([...pools.values()].map(pool => pool.destroy()));
        },
    };
}

function createPool(address: string): Pool {
    return new Pool(`http://${address}`, {
        pipelining: 1,
        keepAliveTimeout: targetIdleTimeoutMs,
        keepAliveMaxTimeout: targetIdleTimeoutMs,
        connectTimeout: targetConnectTimeoutMs,
        // Deadlines are enforced by the core.
        headersTimeout: 0,
        bodyTimeout: 0,
        factory: createPausableClient,
    });
}

function sendTo(pool: Pool, request: OutgoingRequest, remainingMs: number, listener: AttemptListener): AttemptHandle {
    let controller: Dispatcher.DispatchController | undefined;
    let isCancelled = false;
    let isSettled = false;
    const settle = (notify: () => void): void => {
        if (!isSettled && !isCancelled) {
            isSettled = true;
            notify();
        }
    };
    request.headers["x-deadline-ms"] = String(Math.ceil(remainingMs));
    pool.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string>,
        body: request.body ?? null,
    }, {
        onRequestStart: dispatched => {
            controller = dispatched;
            if (isCancelled) {
                dispatched.abort(new Error("cancelled"));
            }
        },
        onResponseStart: (_controller, status, headers) => {
            if (status < minFinalStatus) {
                return;
            }
            const notice = readNotice(status, headers);
            if (notice.isLeaving || notice.pauseMs !== undefined) {
                listener.onNotice(notice);
            }
            if (status === 503 && headers[notStartedHeader] !== undefined) {
                settle(() => listener.onFailure({ kind: "refused", result: results.refusedByTarget }));
                return;
            }
            if (!isSettled && !isCancelled) {
                listener.onHead({ status, headers: endToEndHeaders(headers), code: results.answered.code });
            }
        },
        onResponseData: (responseController, chunk) => {
            if (!isSettled && !isCancelled && !listener.onData(chunk)) {
                responseController.pause();
            }
        },
        onResponseEnd: () => settle(listener.onEnd),
        onResponseError: (_controller, error) => {
            // undici calls onRequestStart once it has assigned the request to an open connection; before that nothing is written.
            const kind = controller === undefined ? "notSent" : "broken";
            settle(() => listener.onFailure({ kind, reason: error.message }));
        },
    });
    return {
        cancel: () => {
            isCancelled = true;
            controller?.abort(new Error("cancelled"));
        },
        resume: () => controller?.resume(),
    };
}

/** A `retry-after` that is no positive number of seconds counts as absent. */
export function readNotice(
    status: number,
    headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): TargetNotice {
    const retryAfter = status === 503 ? headers["retry-after"] : undefined;
    const seconds = typeof retryAfter === "string" && retryAfter.trim() !== "" ? Number(retryAfter) : Number.NaN;
    return {
        isLeaving: headers[leavingHeader] === "1",
        pauseMs: seconds > 0 && Number.isFinite(seconds) ? seconds * msPerSecond : undefined,
    };
}
