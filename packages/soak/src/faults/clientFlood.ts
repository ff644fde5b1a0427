/** Clients that make a daemon work out of proportion to what it serves, and come back when their connections are closed. */
import { splitAddress } from "@pimentospring/runtime/http/jsonServer";
import { standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { connect, type Socket } from "node:net";
import { type FaultInjector, onDaemon } from "./faultInjector.js";

const clientCount = 60;
const reconnectDelayMs = 200;
const chunksPerWrite = 10_000;
const requestsPerWrite = 500;

const head = (method: string, path: string, field: string): string =>
    `${method} ${path} HTTP/1.1\r\nHost: ${standinHost}\r\n${field}\r\n\r\n`;

interface Flood {
    /** What a client sends first, and what it then sends again and again. */
    readonly first: string;
    readonly next: string;
    readonly readsResponses: boolean;
}

const unknownPath = "/flood";
/** They ask for nothing that a target would run, so that the records of runs stay those of the ordinary load. */
const floods: readonly Flood[] = [
    {
        first: head("POST", unknownPath, "Transfer-Encoding: chunked"),
        next: "1\r\nx\r\n".repeat(chunksPerWrite),
        readsResponses: true,
    },
    {
        first: `${head("POST", unknownPath, "Transfer-Encoding: chunked")}1\r\nx\r\n0\r\n`,
        next: "a: b\r\n".repeat(chunksPerWrite),
        readsResponses: true,
    },
    { first: "", next: head("GET", unknownPath, "X-Deadline-Ms: 1000").repeat(requestsPerWrite), readsResponses: false },
];

/** Sends for as long as the connection is open, and as fast as it takes bytes. */
function sendAll(socket: Socket, { first, next, readsResponses }: Flood): void {
    if (readsResponses) {
        socket.resume();
    }
    const data = Buffer.from(next);
    const send = (): void => void socket.write(data, error => error ? undefined : send());
    socket.write(first);
    send();
}

export const flood: FaultInjector = onDaemon(async (daemon, cluster, fault) => {
    const { host, port } = splitAddress(daemon.listen.callers);
    let isOver = false;
    const sockets = new Set<Socket>();
    const open = (client: number): void => {
        const socket = connect(port, host).on("error", () => {});
        sockets.add(socket);
        sendAll(socket, floods[client % floods.length]!);
        socket.once("close", () => {
            sockets.delete(socket);
            void cluster.sleep(reconnectDelayMs).then(() => isOver ? undefined : open(client));
        });
    };
    Array.from({ length: clientCount }, (_, client) => open(client));
    await cluster.sleep(fault.forMs);
    isOver = true;
    sockets.forEach(socket => socket.destroy());
});
