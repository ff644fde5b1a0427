/** Sends attempts to targets and reports their outcomes to the dispatcher. */
import type { AttemptId, DataCentreId } from "@pimentospring/core/ids";
import type { Attempt, Job } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import type { CallerRequest } from "../callers/callerServer.js";
import type { HeaderCodec, TargetResponseHead } from "../wire/headerCodec.js";
import { headerReader } from "./headers.js";
import { endToEndHeaders } from "./hopHeaders.js";
import type { TargetConnections } from "./targetConnections.js";
import type { ReceivedResponse, TargetResponse } from "./targetResponse.js";

export interface TargetSenderOptions {
    readonly timer: Timer;
    readonly headerCodec: HeaderCodec;
    readonly connections: TargetConnections;
    /** Whether requests need the key of a workspace. */
    readonly needsKeys: () => boolean;
    readonly roundTripMs: (dataCentre: DataCentreId) => number;
    readonly dispatcher: () => RequestDispatcher<ReceivedResponse>;
}

export interface TargetSender {
    /**
     * Stores the caller's request for its attempts, until the returned function is called. `onNoMemory` is called when this entry
     * lacks the memory for a response.
     */
    register(request: object, caller: CallerRequest, onNoMemory: () => void): () => void;
    send(attempt: Attempt<ReceivedResponse>): void;
    cancel(attempt: Attempt<ReceivedResponse>): void;
}

/** Added to two round trips for the connection timeout. */
const connectTimeoutMarginMs = 250;
/** Subtracted from the remaining time that the target is given, so that its response arrives in time. */
const responseTransitMs = 3;

interface RegisteredRequest {
    readonly caller: CallerRequest;
    readonly onNoMemory: () => void;
}

export function createTargetSender(options: TargetSenderOptions): TargetSender {
    const { timer, headerCodec, connections, roundTripMs, dispatcher } = options;
    const registered = new Map<object, RegisteredRequest>();
    const cancels = new Map<AttemptId, () => void>();

    const isReplacedHeader = (name: string): boolean => name === "content-length" || headerCodec.isReservedHeader(name);
    /** The document may have got its workspaces only after the request arrived, so that this depends on each attempt. */
    const isDroppedHeader = (name: string): boolean =>
        isReplacedHeader(name) || (options.needsKeys() && headerCodec.isWorkspaceHeader(name));
    const headersFor = (job: Job<ReceivedResponse>, caller: CallerRequest, target: string): string[] => {
        const remainingMs = Math.max(1, Math.floor(job.responseDueAt - timer.now() - responseTransitMs));
        const headers = endToEndHeaders(caller.rawHeaders, isDroppedHeader);
        headerCodec.encodeTargetHeaders(remainingMs, target, job.terms.workspace?.id)
            .forEach(([name, value]) => headers.push(name, value));
        return headers;
    };
    const decodeHead = (response: TargetResponse): TargetResponseHead =>
        headerCodec.decodeResponse(response.status, headerReader(response.rawHeaders), response.body.length);
    return {
        register: (request, caller, onNoMemory) => {
            registered.set(request, { caller, onNoMemory });
            return () => registered.delete(request);
        },
        send: attempt => {
            const { job, target } = attempt;
            const registeredRequest = registered.get(job.request)!;
            const { caller } = registeredRequest;
            const hasBody = caller.body.length > 0 || caller.header("content-length") !== undefined;
            const needsNewConnection = !job.route.isIdempotent && target.noConnectionReuseUntil > timer.now();
            const connectTimeoutMs = 2 * roundTripMs(target.record.dataCentre) + connectTimeoutMarginMs;
            const cancel = connections.send(
                target.record.address,
                {
                    id: job.request.id,
                    method: caller.method,
                    path: caller.path,
                    headers: headersFor(job, caller, target.record.id),
                    body: hasBody ? caller.body : undefined,
                },
                needsNewConnection,
                connectTimeoutMs,
                {
                    onWriteStart: () => dispatcher().recordWritten(attempt),
                    // Without an id it may be a late copy of the response to an earlier request on the connection.
                    isExpected: response => decodeHead(response).echoedRequestId === job.request.id,
                    namedRequestId: ({ status, rawHeaders }) =>
                        headerCodec.decodeResponse(status, headerReader(rawHeaders), 0).echoedRequestId,
                    onResponse: response => {
                        cancels.delete(attempt.id);
                        dispatcher().handleResponse(attempt, decodeHead(response), response);
                    },
                    onFailure: reason => {
                        cancels.delete(attempt.id);
                        dispatcher().handleConnectionFailure(attempt, reason);
                    },
                    onNoMemory: () => {
                        cancels.delete(attempt.id);
                        registeredRequest.onNoMemory();
                    },
                },
            );
            cancels.set(attempt.id, cancel);
        },
        cancel: attempt => {
            cancels.get(attempt.id)?.();
            cancels.delete(attempt.id);
        },
    };
}
