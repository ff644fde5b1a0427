/** Stand-ins of clients. Each request is recorded with what its client got; times are monotonic, in milliseconds. */
import { Agent, request as httpRequest } from "node:http";
import { connect } from "node:net";

export const hostName = "ficu95.example";

let lastId = 0;
export const nextId = () => `q${(++lastId).toString(16).padStart(8, "0")}`;

/** A client that keeps its connections. */
export function createCaller() {
    const agent = new Agent({ keepAlive: true });
    const send = (address, { method = "GET", path, deadlineMs = 2_500, body = "" }) =>
        new Promise(resolve => {
            const [host, port] = address.split(":");
            const sent = { id: nextId(), address, method, path, at: performance.now(), endedAt: undefined };
            const finish = outcome => {
                sent.endedAt ??= performance.now();
                resolve(Object.assign(sent, outcome));
            };
            const headers = {
                "Host": hostName,
                "X-Request-Id": sent.id,
                "X-Deadline-Ms": String(deadlineMs),
                ...(method === "POST" ? { "Content-Length": body.length } : {}),
            };
            const request = httpRequest({ agent, host, port, method, path, headers }, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", error => finish({ error: error.message }));
                response.on("end", () =>
                    finish({
                        status: response.statusCode,
                        reason: response.statusMessage,
                        stamp: response.headers["x-server-stamp"],
                        body: Buffer.concat(chunks).toString(),
                    }));
            });
            request.setTimeout(deadlineMs, () => request.destroy(new Error("deadline")));
            request.on("error", error => finish({ error: error.message }));
            request.end(body);
        });
    return { send, close: () => agent.destroy() };
}

const answerPattern = /^HTTP\/1\.1 (\d{3}) [^]*?\r\n\r\n/;

/** Takes complete answers with a length off the front of the text. */
function takeAnswer(text) {
    const head = answerPattern.exec(text);
    const length = Number(/^content-length: (\d+)\r$/im.exec(head?.[0] ?? "")?.[1]);
    if (head === null || text.length < head[0].length + length) {
        return undefined;
    }
    return {
        status: Number(head[1]),
        isClosing: /^connection: close\r$/im.test(head[0]),
        rest: text.slice(head[0].length + length),
    };
}

/** A client that sends further requests on its connection before the first has been answered. `record` gets each request. */
export function openPipeline({ address, path, depth, deadlineMs, record }) {
    const [host, port] = address.split(":");
    const socket = connect({ host, port: Number(port) });
    const waiting = [];
    let text = "";
    let isOver = false;
    const sendNext = () => {
        const sent = { id: nextId(), address, path, at: performance.now(), deadlineMs };
        waiting.push(sent);
        record.push(sent);
        socket.write(
            `GET ${path} HTTP/1.1\r\nHost: ${hostName}\r\nX-Request-Id: ${sent.id}\r\nX-Deadline-Ms: ${deadlineMs}\r\n\r\n`,
        );
    };
    const fill = () => {
        while (!isOver && waiting.length < depth) {
            sendNext();
        }
    };
    socket.setNoDelay(true);
    socket.on("connect", fill);
    socket.on("data", data => {
        text += data;
        for (let answer = takeAnswer(text); answer !== undefined && waiting.length > 0; answer = takeAnswer(text)) {
            text = answer.rest;
            isOver ||= answer.isClosing;
            Object.assign(waiting.shift(), { status: answer.status, isClosing: answer.isClosing, endedAt: performance.now() });
        }
        fill();
    });
    socket.on("error", () => {});
    socket.on("close", () => {
        isOver = true;
        waiting.splice(0).forEach(sent => Object.assign(sent, { isCut: true, endedAt: performance.now() }));
    });
    return {
        /** Sends no further requests. */
        finish: () => {
            isOver = true;
        },
        close: () => socket.destroy(),
    };
}
