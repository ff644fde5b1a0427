/** Sends requests to targets with undici and tells what can be proved of a failure: was any byte written? */
import { results } from "@pimentospring/core/results/resultCode";
import { type Dispatcher, Pool } from "undici";
import { probeTimeoutMs, targetConnectTimeoutMs, targetIdleTimeoutMs } from "../constants.js";
import { type AttemptHandle, type AttemptListener, endToEndHeaders, type OutgoingRequest } from "../exchange/exchange.js";

/** Header of a target's refusal (status 503) that says that the request was not started. */
const notStartedHeader = "x-not-started";

export interface TargetClient {
    send(address: string, request: OutgoingRequest, remainingMs: number, events: AttemptListener): AttemptHandle;
    /** Asks the target's health over a connection of its own. */
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
        send: (address, request, remainingMs, events) => sendTo(poolOf(address), request, remainingMs, events),
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
        // The core keeps the deadlines.
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

function sendTo(pool: Pool, request: OutgoingRequest, remainingMs: number, events: AttemptListener): AttemptHandle {
    let controller: Dispatcher.DispatchController | undefined;
    let isCancelled = false;
    let isSettled = false;
    const settle = (tell: () => void): void => {
        if (!isSettled && !isCancelled) {
            isSettled = true;
            tell();
        }
    };
    request.headers["x-deadline-ms"] = String(Math.ceil(remainingMs));
    pool.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string>,
        body: request.body ?? null,
    }, {
        onRequestStart: started => {
            controller = started;
            if (isCancelled) {
                started.abort(new Error("cancelled"));
            }
        },
        onResponseStart: (_controller, status, headers) => {
            if (status === 503 && headers[notStartedHeader] !== undefined) {
                settle(() => events.onFailure({ kind: "refused", result: results.refusedByTarget }));
                return;
            }
            if (!isSettled && !isCancelled) {
                events.onHead({ status, headers: endToEndHeaders(headers), code: results.answered.code });
            }
        },
        onResponseData: (own, chunk) => {
            if (!isSettled && !isCancelled && !events.onData(chunk)) {
                own.pause();
            }
        },
        onResponseEnd: () => settle(events.onEnd),
        onResponseError: (_controller, error) => {
            // undici reports the start of a request when it is given to an open connection.
            const kind = controller === undefined ? "notSent" : "broken";
            settle(() => events.onFailure({ kind, reason: error.message }));
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
