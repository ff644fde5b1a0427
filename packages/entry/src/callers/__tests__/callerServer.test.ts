/** Each request of the own interface gets a response, also if an error keeps its handler from giving one. */
import type { EntryCore } from "@pimentospring/core/entryCore";
import { closeServer, listen } from "@pimentospring/runtime/http/jsonServer";
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createTracing } from "@pimentospring/runtime/traces/tracing";
import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Metrics } from "../../observe/metrics.js";
import { createCallerServer } from "../callerServer.js";

const fail = (): never => {
    throw new Error("broken");
};

// Guards against CONFIG: an error in a handler, or in the metrics that it waited for, left the connection open and silent.
test("a request whose handler fails is answered with an unexpected error", async context => {
    const server = createCallerServer({
        core: { lookup: fail, status: fail } as unknown as EntryCore,
        log: silentLog,
        metrics: { text: () => Promise.reject(new Error("broken")), contentType: "text/plain" } as unknown as Metrics,
        tracing: createTracing({ program: "entry", instance: "one", endpoint: undefined, samplingRatio: 0 }),
        maxBodyBytes: 1_000,
        submitRequest: fail,
    });
    const { port } = await listen(server, "127.0.0.1", 0);
    context.after(() => closeServer(server));
    for (const path of ["/v1/lookup?caller=10.0.0.1", "/v1/status", "/metrics", "/s/tokens/1"]) {
        const response = await request(`http://127.0.0.1:${port}${path}`, { signal: AbortSignal.timeout(2_000) });
        assert.equal(response.statusCode, 500, path);
        await response.body.dump();
    }
});
