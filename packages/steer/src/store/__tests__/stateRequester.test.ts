/** Peers whose responses to state requests are larger than any state. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { requestState } from "../stateRequester.js";

const maxSentBytes = 64 * 1_024 * 1_024;

// Guards against FAULT: what a peer sent until the request's timeout was all kept, whatever its size.
test("a peer's response without end is given up at a limit, and its connection closed", async context => {
    let sentBytes = 0;
    const chunk = Buffer.alloc(64 * 1_024);
    const server = createServer((_request, response) => {
        const send = (): void => {
            while (!response.destroyed) {
                sentBytes += chunk.length;
                if (!response.write(chunk)) {
                    response.once("drain", send);
                    return;
                }
            }
        };
        send();
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    context.after(() => {
        server.close();
        server.closeAllConnections();
    });
    const { port } = server.address() as AddressInfo;
    await assert.rejects(requestState(`127.0.0.1:${port}`, Buffer.alloc(1)), /larger than/);
    await new Promise(resolve => setTimeout(resolve, 100));
    const sentWhenRejected = sentBytes;
    await new Promise(resolve => setTimeout(resolve, 100));
    assert.equal(sentBytes, sentWhenRejected);
    assert.ok(sentBytes < maxSentBytes, `${sentBytes} bytes`);
});
