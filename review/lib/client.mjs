/** Clients: each request goes over a new connection, as the fresh ones of PROTOCOL.md do. */
import { request as startRequest } from "node:http";

/** Resolves to the status and body, or to status 0 if there is no answer within the client's deadline. */
export function sendRequest({ address, id, path, method = "GET", body = "", deadlineMs, object }, record) {
    const [host, port] = address.split(":");
    const sentAt = performance.now();
    return new Promise(resolve => {
        const end = (status, text) => {
            clearTimeout(giveUp);
            const tookMs = performance.now() - sentAt;
            record("client", id, status === 0 ? `gets no answer (${text})` : `gets ${status} ${text}`, `after ${tookMs.toFixed(0)} ms`);
            resolve({ id, status, text, tookMs });
        };
        const headers = {
            "Host": "a.example",
            "X-Request-Id": id,
            "X-Deadline-Ms": String(deadlineMs),
            ...object === undefined ? {} : { "X-Affinity-Key": object },
            ...method === "GET" ? {} : { "Content-Length": String(body.length) },
        };
        const request = startRequest({ host, port, method, path, headers, agent: false }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => end(response.statusCode, Buffer.concat(chunks).toString()));
            response.on("error", error => end(0, error.message));
        });
        const giveUp = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
        request.on("error", error => end(0, error.message));
        request.end(method === "GET" ? undefined : body);
    });
}

const readIntervalMs = 10;

/**
 * Reads an answer as fast as a slow link allows. Resolves to its status, the bytes of its body, and whether it ended as a
 * complete one does.
 */
export function download({ address, id, path, deadlineMs, bytesPerSecond, onStart }, record) {
    const [host, port] = address.split(":");
    const sentAt = performance.now();
    const headers = { "Host": "a.example", "X-Request-Id": id, "X-Deadline-Ms": String(deadlineMs) };
    return new Promise(resolve => {
        let bytes = 0;
        let reading;
        const end = (response, error) => {
            clearInterval(reading);
            clearTimeout(giveUp);
            const isComplete = error === undefined && response?.complete === true;
            const ending = isComplete ? "and a complete end" : `and then ${error ?? "an incomplete end"}`;
            const tookMs = performance.now() - sentAt;
            record("client", id, `gets ${response?.statusCode}, ${bytes} bytes`, ending, `after ${tookMs.toFixed(0)} ms`);
            resolve({ id, status: response?.statusCode ?? 0, headers: response?.headers ?? {}, bytes, isComplete, tookMs });
        };
        const request = startRequest({ host, port, path, headers, agent: false }, response => {
            onStart?.();
            reading = setInterval(() => {
                const size = Math.min(response.readableLength, bytesPerSecond * readIntervalMs / 1_000);
                bytes += size === 0 ? 0 : response.read(size)?.length ?? 0;
                if (size === 0) {
                    response.read(0);
                }
            }, readIntervalMs);
            response.on("readable", () => {
                // Read by the timer, at the speed of the link.
            });
            response.on("end", () => end(response));
            response.on("error", error => end(response, error.code));
        });
        const giveUp = setTimeout(() => request.destroy(new Error("deadline")), deadlineMs);
        request.on("error", error => end(undefined, error.code));
        request.end();
    });
}
