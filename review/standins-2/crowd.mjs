/**
 * Clients outside the operator's control, as a process: each sends safe requests ahead on its connection and reads no answer. Whoever
 * is cut off comes back. Started with a daemon's address; tells its parent how many connections are open.
 */
import { connect } from "node:net";
import { hostName } from "./callers.mjs";

const connectionCount = 2_800;
const requestsAhead = 32;
const fieldCount = 980;
const returnAfterMs = 250;
const reportIntervalMs = 250;

const [, , address] = process.argv;
const [host, port] = address.split(":");
/** Shared by all requests, so that those that wait to be sent take little memory. */
const fields = Buffer.from(
    Array.from({ length: fieldCount }, (_, index) => `${index.toString(36).toUpperCase()}:1234567\r\n`).join("") + "\r\n",
);
let sent = 0;
let open = 0;

/** Each request has an id of its own, and a head that is smaller than the operator's `headerBytes`. */
function nextHead() {
    const id = `c${(++sent).toString(16).padStart(8, "0")}`;
    const own = `X-Request-Id: ${id}\r\nX-Deadline-Ms: 4000\r\n`;
    return `GET /check/1 HTTP/1.1\r\nHost: ${hostName}\r\n${own}`;
}

function openConnection() {
    const socket = connect({ host, port: Number(port) });
    socket.pause();
    socket.on("connect", () => {
        open++;
        socket.once("close", () => open--);
        for (let count = 0; count < requestsAhead; count++) {
            socket.write(nextHead());
            socket.write(fields);
        }
    });
    socket.on("error", () => {});
    socket.on("close", () => setTimeout(openConnection, returnAfterMs));
}

for (let count = 0; count < connectionCount; count++) {
    openConnection();
}
setInterval(() => process.send({ open, sent }), reportIntervalMs);
process.on("disconnect", () => process.exit());
