/**
 * Clients outside the operator's control, as a process: each sends safe requests ahead on its connection and reads no answer. Together
 * they send less than the link of a machine carries. Whoever is cut off comes back. Started with a daemon's address; tells its parent
 * how many connections are open and how many requests were sent.
 */
import { connect } from "node:net";
import { hostName } from "./callers.mjs";

const connectionCount = 2_800;
const requestsAhead = 32;
const fieldCount = 980;
const bytesPerMs = 80_000;
const sendIntervalMs = 10;
const returnAfterMs = 250;
const reportIntervalMs = 250;

const [, , address] = process.argv;
const [host, port] = address.split(":");
/** Shared by all requests, so that those that wait to be sent take little memory. */
const fields = Buffer.from(
    Array.from({ length: fieldCount }, (_, index) => `${index.toString(36).toUpperCase()}:1234567\r\n`).join("") + "\r\n",
);
const clients = [];
let sent = 0;

/** Each request has an id of its own, and a head that is smaller than the operator's `headerBytes`. */
function nextHead() {
    const id = `c${(++sent).toString(16).padStart(8, "0")}`;
    return `GET /check/1 HTTP/1.1\r\nHost: ${hostName}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 4000\r\n`;
}

function openConnection() {
    const socket = connect({ host, port: Number(port) });
    const client = { socket, left: requestsAhead };
    socket.pause();
    socket.on("connect", () => clients.push(client));
    socket.on("error", () => {});
    socket.on("close", () => {
        const at = clients.indexOf(client);
        if (at !== -1) {
            clients.splice(at, 1);
        }
        setTimeout(openConnection, returnAfterMs);
    });
}

let turn = 0;
let lastSentAt = performance.now();
function sendRequests() {
    const now = performance.now();
    let due = bytesPerMs * (now - lastSentAt) / fields.length;
    lastSentAt = now;
    for (let tried = 0; tried < clients.length && due > 0; tried++) {
        const client = clients[turn++ % clients.length];
        if (client.left > 0 && !client.socket.writableNeedDrain) {
            client.left--;
            client.socket.write(nextHead());
            client.socket.write(fields);
            due--;
        }
    }
}

for (let count = 0; count < connectionCount; count++) {
    openConnection();
}
setInterval(sendRequests, sendIntervalMs);
setInterval(() => process.send({ open: clients.length, sent }), reportIntervalMs);
process.on("disconnect", () => process.exit());
