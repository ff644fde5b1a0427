/** Turns a caller's HTTP request into a steering request, and its outcome into the final HTTP response. */
import { digestKey } from "@pimentospring/core/hash/keyDigest";
import { type KeyDigest, toRequestId } from "@pimentospring/core/ids";
import { results } from "@pimentospring/core/results/resultCode";
import type { SteeringRequest } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { TargetResponse } from "../targets/targetResponse.js";
import type { HeaderCodec } from "../wire/headerCodec.js";
import type { CallerResponder } from "./callerResponder.js";
import type { CallerRequest } from "./callerServer.js";
import { createRequestFingerprint } from "./requestFingerprint.js";

export interface RequestHandlerOptions {
    readonly timer: Timer;
    readonly log: Log;
    readonly headerCodec: HeaderCodec;
    readonly dispatcher: () => RequestDispatcher<TargetResponse>;
    /**
     * Stores the caller's request until the returned function is called. `onNoMemory` is called when this entry lacks the memory for
     * its response.
     */
    readonly register: (request: SteeringRequest, caller: CallerRequest, onNoMemory: () => void) => () => void;
    /** Whether requests need the key of a workspace. */
    readonly needsKeys: () => boolean;
    /** Whether new requests are accepted. */
    readonly isAccepting: () => boolean;
    /** Time at which the process exits, on the timer's clock. */
    readonly stopDeadline: () => number;
}

export interface RequestHandler {
    /** The returned function is to be called if the caller disconnects. */
    handle(caller: CallerRequest, responder: CallerResponder): () => void;
}

/** Deadline of requests that carry none. */
const defaultDeadlineMs = 30_000;
const leavingRetryAfterMs = 20;
/** Responses are sent at least this long before the process exits. */
const responseMarginMs = 150;

export function createRequestHandler(options: RequestHandlerOptions): RequestHandler {
    const { timer, log, headerCodec, dispatcher } = options;
    /** The job has ended by now, so that nothing else would answer the caller if the response can't be written. */
    const respond = (request: SteeringRequest, targetResponse: TargetResponse, responder: CallerResponder): void => {
        try {
            responder.respond(targetResponse, request.id);
        }
        catch (error) {
            const { status } = targetResponse;
            log.write(logEvents.responseNotWritten, { request: request.id, status, reason: (error as Error).message });
            responder.refuse(results.unexpectedError, undefined);
        }
    };
    /**
     * Only the digest of the key is kept, and neither the key nor a workspace that the caller names is forwarded. Where
     * requests need no key both headers stay, but the digest is needed if that changes while the request waits.
     */
    const takeKey = (caller: CallerRequest): KeyDigest | undefined => {
        const key = headerCodec.decodeKey(caller.header);
        if (options.needsKeys()) {
            caller.removeHeaders(headerCodec.isWorkspaceHeader);
        }
        // Header values are received as Latin-1, one character for each byte.
        return key === undefined ? undefined : digestKey(Buffer.from(key, "latin1"));
    };
    return {
        handle: (caller, responder) => {
            if (!options.isAccepting()) {
                responder.refuse(results.leaving, leavingRetryAfterMs);
                return () => {};
            }
            const arrivedAt = caller.receivedAt;
            const head = headerCodec.decodeCallerHeaders(caller.header);
            const deadlineAt = arrivedAt + (head.deadlineMs ?? defaultDeadlineMs);
            const keyDigest = takeKey(caller);
            if (timer.now() >= deadlineAt) {
                // It waited behind other requests of its connection.
                responder.refuse(results.deadlinePassed, undefined);
                return () => {};
            }
            const fingerprint = createRequestFingerprint(caller, head.objectId);
            const request: SteeringRequest = {
                id: toRequestId(head.id ?? ""),
                host: caller.host,
                path: caller.path,
                objectId: head.objectId,
                keyDigest,
                callerAddress: caller.callerAddress,
                arrivedAt,
                deadlineAt: Math.min(deadlineAt, options.stopDeadline() - responseMarginMs),
                bodyBytes: caller.body.length,
                place: caller.place,
                fingerprint: fingerprint.value,
                describeFingerprint: fingerprint.describe,
            };
            let cancel = (): void => {};
            const unregister = options.register(request, caller, () => {
                // It may have run, so that it is neither refused as not run nor sent to another target.
                responder.refuse(results.unexpectedError, undefined);
                cancel();
            });
            cancel = dispatcher().submit(request, finalResponse => {
                unregister();
                if (finalResponse.kind === "answer") {
                    respond(request, finalResponse.answer, responder);
                }
                else {
                    responder.refuse(finalResponse.result, finalResponse.retryAfterMs);
                }
            });
            return cancel;
        },
    };
}
