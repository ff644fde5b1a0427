/** A caller server for tests, closed when its test ends. */
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import type { AddressInfo } from "node:net";
import type { TestContext } from "node:test";
import { createResponseBody, type ResponseBody } from "../../targets/responseBody.js";
import { createResponseBuffers } from "../../targets/responseBuffers.js";
import { type CallerServer, type CallerServerOptions, createCallerServer } from "../callerServer.js";

export interface StartedServer {
    readonly callers: CallerServer;
    readonly port: number;
}

/** Listens on 127.0.0.1; what the options leave out takes a value that limits nothing but request bodies, to 1 MB. */
export async function startCallerServer(
    context: TestContext,
    options: Pick<CallerServerOptions, "onRequest"> & Partial<CallerServerOptions>,
): Promise<StartedServer> {
    const callers = createCallerServer({
        log: silentLog,
        timer: createClockTimer(),
        maxBufferedBytes: 1_000_000,
        maxUnparsedBytes: 20_000_000,
        maxConnections: 1_000,
        isMemoryScarce: () => false,
        responseBuffers: createResponseBuffers(100_000_000),
        ...options,
    });
    await new Promise<void>(resolve => callers.server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        callers.server.close();
        callers.server.closeAllConnections();
    });
    return { callers, port: (callers.server.address() as AddressInfo).port };
}

const partBytes = 64 * 1_024;

/** A target's response body, in parts as they arrive over a connection. */
export function bodyOf(content: Buffer | string): ResponseBody {
    const bytes = Buffer.from(content);
    const count = Math.ceil(bytes.length / partBytes);
    return createResponseBody(
        Array.from({ length: count }, (_, index) => bytes.subarray(index * partBytes, (index + 1) * partBytes)),
    );
}
