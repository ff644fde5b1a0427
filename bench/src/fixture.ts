/** Reference servers, each run as a process: `bare` answers with a fixed body, `thin` is a minimal forwarder. */
import { createServer } from "node:http";
import { Pool } from "undici";

const [kind, port, argument] = process.argv.slice(2);

function startStaticServer(body: string): void {
    const bytes = Buffer.from(body);
    createServer((_request, response) => {
        response.writeHead(200, { "content-type": "application/json", "content-length": bytes.length });
        response.end(bytes);
    }).listen(Number(port), "127.0.0.1");
}

/** Forwards every request with `http` and `undici` only, as a lower bound for the cost of a forwarder. */
function startMinimalForwarder(targetUrl: string): void {
    const pool = new Pool(targetUrl, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
    createServer((request, response) => {
        pool.dispatch({
            method: "GET",
            path: (request.url ?? "/").replace(/^\/s\/[^/]+/, ""),
            headers: { "x-work-id": String(request.headers["x-work-id"]) },
        }, {
            onRequestStart: () => {},
            onResponseStart: (_controller, status, headers) => {
                response.writeHead(status, headers as Record<string, string>);
            },
            onResponseData: (controller, chunk) => {
                if (!response.write(chunk)) {
                    controller.pause();
                    response.once("drain", () => controller.resume());
                }
            },
            onResponseEnd: () => response.end(),
            onResponseError: () => response.destroy(),
        });
    }).listen(Number(port), "127.0.0.1");
}

if (kind === "bare") {
    startStaticServer(argument!);
}
else {
    startMinimalForwarder(argument!);
}
