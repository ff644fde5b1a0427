/** Receives a request's body, within the limits of all bodies that are being received. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createBodyBuffer } from "./bodyBuffer.js";
import type { MemoryQuota } from "./memoryQuota.js";
import type { BodyFault, OpenBodies, OpenBody } from "./openBodies.js";

export interface BodyReading {
    readonly request: IncomingMessage;
    /** The body counts against the quota until this response is closed. */
    readonly response: ServerResponse;
    readonly maxBodyBytes: number;
    readonly memoryQuota: MemoryQuota;
    /** Bounds the memory of bodies that are allocated before they have arrived. */
    readonly bodyAllocations: MemoryQuota;
    readonly openBodies: OpenBodies;
    /** Bytes of a connection that have been parsed. */
    readonly parsedBytesOf: (socket: Socket) => number;
}

export type BodyOutcome = Buffer | "tooLarge" | "noMemory" | BodyFault;

/** Reads the body. `done` is not called if the caller disconnects before its request is complete. */
export function readBody(reading: BodyReading, done: (outcome: BodyOutcome) => void): void {
    const { request, response, maxBodyBytes, memoryQuota, openBodies } = reading;
    const body = createBodyBuffer({
        expectedBytes: Number(request.headers["content-length"] ?? 0),
        allocations: reading.bodyAllocations,
        reserve: bytes => {
            while (!memoryQuota.tryTake(bytes)) {
                if (!openBodies.giveUpStalled()) {
                    return false;
                }
            }
            return true;
        },
        release: memoryQuota.giveBack,
    });
    let size = 0;
    let chunkCount = 0;
    const giveUp = (outcome: BodyOutcome): void => {
        request.off("data", onData).off("end", onEnd);
        openBodies.remove(openBody);
        body.clear();
        done(outcome);
    };
    const openBody: OpenBody = {
        size: () => size,
        chunkCount: () => chunkCount,
        connectionBytes: () => reading.parsedBytesOf(request.socket),
        giveUp,
    };
    const onData = (chunk: Buffer): void => {
        if (size + chunk.length > maxBodyBytes) {
            giveUp("tooLarge");
            return;
        }
        size += chunk.length;
        chunkCount++;
        openBodies.recordProgress(openBody);
        if (!body.add(chunk)) {
            giveUp("noMemory");
        }
    };
    const onEnd = (): void => {
        openBodies.remove(openBody);
        done(body.take());
    };
    if (hasBody(request)) {
        openBodies.add(openBody);
    }
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("error", () => {
        // The caller disconnected before the request was complete: nothing was routed and no response is expected.
    });
    response.once("close", () => {
        openBodies.remove(openBody);
        body.clear();
    });
}

const hasBody = ({ headers }: IncomingMessage): boolean =>
    headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
