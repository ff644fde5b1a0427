/** Converts a stream opened by a peer into a request for the request executor. */
import { toAttemptId, toServiceId, toTicket } from "@pimentospring/core/ids";
import type { Tracing } from "@pimentospring/runtime/traces/tracing";
import type { ReceivedRequest } from "../exchange/requestExecutor.js";
import type { PeerRequest } from "./acceptedSession.js";

export function toReceivedRequest(request: PeerRequest, tracing: Tracing): ReceivedRequest {
    const { open, body, from, responseWriter } = request;
    const traceparent = open.headers["traceparent"];
    return {
        service: toServiceId(open.service),
        method: open.method,
        path: open.path,
        remainingMs: open.remainingMs,
        ticket: open.ticket === undefined || open.ticket === null ? undefined : toTicket(open.ticket),
        isReplayable: body === undefined || body instanceof Uint8Array,
        bodyBytes: open.bodyBytes,
        origin: { kind: "peer", peer: from.instance, role: open.role, attempt: toAttemptId(open.attempt) },
        outgoing: { method: open.method, path: open.path, headers: { ...open.headers }, body },
        responseWriter,
        span: tracing.startSpan("peer entry", typeof traceparent === "string" ? traceparent : undefined, "server"),
    };
}
