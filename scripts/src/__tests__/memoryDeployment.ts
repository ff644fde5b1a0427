/** A steering daemon as deployed, targets with large answers, and callers that read slowly, for tests of its memory. */
import { listen } from "@pimentospring/runtime/http/jsonServer";
import { createOperator, standinHost } from "@pimentospring/standin/direct/operatorStandin";
import { startStoreStandin } from "@pimentospring/standin/direct/storeStandin";
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";
import { request } from "undici";
import { waitUntil } from "./steeringFleet.js";

const root = fileURLToPath(new URL("../../../", import.meta.url));
const listeners = ["callers", "readiness", "directory", "control", "mesh", "metrics"] as const;
export type ListenerName = typeof listeners[number];
const firstPort = 17_710;
const bytesPerKilobyte = 1_024;
const requestTimeoutMs = 10_000;

export interface MemoryDeployment {
    /** The shell's own bound on open descriptors holds for the daemon, if one was given. */
    readonly child: ChildProcess;
    readonly log: () => string;
    readonly metrics: () => Promise<string>;
    /** Opens a connection to the callers' listener. */
    readonly connectCaller: () => Socket;
    /** Opens a connection to any of the daemon's TCP listeners. */
    readonly connectTo: (listener: ListenerName) => Socket;
    /** Status of a GET request to any of the daemon's TCP listeners. */
    readonly fetchStatus: (listener: ListenerName, path: string) => Promise<number>;
    /** Largest resident size so far; throws if the process has ended. */
    readonly peakResidentBytes: () => number;
    /** Descriptors that the process has open; throws if it has ended. */
    readonly openDescriptors: () => number;
    /** Status of a small request. */
    readonly sendSmall: () => Promise<number>;
    /** Status of a request with a body, which its caller awaits without a deadline of its own. */
    readonly sendBody: (bodyBytes: number) => Promise<number>;
    /** Reads answers of `answerBytes` until `until`, each at `bytesPerTick` every 20 ms, and counts how they end. */
    readonly readSlowly: (callers: number, answerBytes: number, bytesPerTick: number, until: number) => Promise<AnswerCounts>;
    /** Sends requests with bodies of `bodyBytes` until `until`. */
    readonly upload: (callers: number, bodyBytes: number, until: number) => Promise<AnswerCounts>;
    /** Sends a request whose answer stays incomplete. */
    readonly sendStalled: () => void;
    /** Opens connections to the callers' listener without sending anything. */
    readonly openConnections: (count: number) => Promise<readonly Socket[]>;
    close(): void;
}

/** Answers by how they ended; a cut one had begun. */
export interface AnswerCounts {
    whole: number;
    cut: number;
    refused: number;
    none: number;
}

interface DeployedRole {
    readonly run: string;
    readonly env?: Readonly<Record<string, string>>;
}

function readDeployedRole(): DeployedRole {
    const file = parse(readFileSync(join(root, "deploy/system.toml"), "utf8")) as unknown as {
        readonly roles: Readonly<Record<string, DeployedRole>>;
    };
    return file.roles["pimento-steer"]!;
}

export interface MemoryDeploymentOptions {
    /** The setting `limits.memoryMb`. */
    readonly memoryMb?: number | undefined;
    readonly targetCount?: number | undefined;
    readonly slotsPerTarget?: number | undefined;
    /** Time that a target takes for a request. */
    readonly workMs?: number | undefined;
}

/** Starts everything on addresses of a loopback network. `maxDescriptors` bounds those of the daemon. */
export async function startMemoryDeployment(
    network: string,
    maxDescriptors?: number,
    options: MemoryDeploymentOptions = {},
): Promise<MemoryDeployment> {
    const { targetCount = 4, slotsPerTarget = 1_000, workMs = 0 } = options;
    const host = `${network}.1`;
    const store = await startStoreStandin(`${network}.9`);
    const operator = createOperator(store);
    const targets: Server[] = [];
    for (let index = 0; index < targetCount; index++) {
        const id = `t${index}`;
        const server = createServer((received, response) => answerAs({ id, slotsPerTarget, workMs }, received, response));
        const { port } = await listen(server, `${network}.${10 + index}`, 0);
        targets.push(server);
        operator.announce({
            id,
            service: "s",
            address: `${network}.${10 + index}:${port}`,
            dataCentre: "cpt-a",
            slots: slotsPerTarget,
            isDraining: false,
            startedAt: 1,
        });
    }
    const route = { prefix: "/a/", isIdempotent: true, parts: { s: 1 }, timeoutMs: requestTimeoutMs, objectiveMs: 9_000 };
    operator.configure(1, [route]);
    const child = startDaemon(host, store.address, { maxDescriptors, ...options });
    let log = "";
    child.stdout!.on("data", chunk => {
        log += String(chunk);
    });
    const addressOf = (listener: typeof listeners[number]): string => `${host}:${firstPort + listeners.indexOf(listener)}`;
    const connectTo = (listener: ListenerName): Socket =>
        connect(firstPort + listeners.indexOf(listener), host).on("error", () => {});
    const connectCaller = (): Socket => connectTo("callers");
    const sendSmall = async (): Promise<number> => {
        const headers = { "host": standinHost, "x-request-id": "small", "x-deadline-ms": "3000" };
        const response = await request(`http://${addressOf("callers")}/a/10`, { headers, signal: AbortSignal.timeout(4_000) });
        await response.body.dump();
        return response.statusCode;
    };
    await waitUntil("the daemon serves", async () => await sendSmall() === 200);
    return {
        child,
        log: () => log,
        connectCaller,
        connectTo,
        fetchStatus: async (listener, path) => {
            const response = await request(`http://${addressOf(listener)}${path}`, { reset: true });
            await response.body.dump();
            return response.statusCode;
        },
        openDescriptors: () => readdirSync(`/proc/${child.pid}/fd`).length,
        sendBody: async bodyBytes => {
            const headers = { "host": standinHost, "x-request-id": `body-${bodyBytes}` };
            const url = `http://${addressOf("callers")}/a/10`;
            const response = await request(url, { method: "POST", headers, body: maxAnswer.subarray(0, bodyBytes), reset: true });
            await response.body.dump();
            return response.statusCode;
        },
        metrics: async () => await (await request(`http://${addressOf("metrics")}/metrics`)).body.text(),
        peakResidentBytes: () => {
            const status = readFileSync(`/proc/${child.pid}/status`, "utf8");
            return Number(/VmHWM:\s+(\d+)/.exec(status)![1]) * bytesPerKilobyte;
        },
        sendSmall,
        readSlowly: (callers, answerBytes, bytesPerTick, until) =>
            repeatCalls(callers, until, id => callSlowly(connectCaller(), `/a/${answerBytes}/${id}`, id, bytesPerTick)),
        upload: (callers, bodyBytes, until) => repeatCalls(callers, until, id => callWithBody(connectCaller(), id, bodyBytes)),
        sendStalled: () => {
            const fields = `Host: ${standinHost}\r\nX-Request-Id: stalled\r\nX-Deadline-Ms: 8000`;
            connectCaller().write(`GET /a/stalled HTTP/1.1\r\n${fields}\r\n\r\n`);
        },
        openConnections: async count => {
            const sockets = Array.from({ length: count }, connectCaller);
            await sleep(1_000);
            return sockets;
        },
        close: () => {
            child.kill("SIGKILL");
            targets.forEach(server => {
                server.close();
                server.closeAllConnections();
            });
            store.close();
        },
    };
}

interface DaemonLimits {
    readonly maxDescriptors: number | undefined;
    readonly memoryMb?: number | undefined;
}

function startDaemon(host: string, storeAddress: string, { maxDescriptors, memoryMb }: DaemonLimits): ChildProcess {
    const file = join(mkdtempSync(join(tmpdir(), "pimento-memory-")), "settings.toml");
    const listenLines = listeners.map((name, index) => `${name} = "${host}:${firstPort + index}"`);
    const topLines = ["name = \"memory\"", "dataCentre = \"cpt-a\"", "region = \"cpt\"", `store = "${storeAddress}"`];
    const limits = Object.entries({ fileDescriptors: maxDescriptors, memoryMb }).filter(([, value]) => value !== undefined);
    const limitLines = limits.length === 0 ? [] : ["[limits]", ...limits.map(([name, value]) => `${name} = ${value}`)];
    writeFileSync(file, [...topLines, "[listen]", ...listenLines, "[regions]", "cpt-a = \"cpt\"", ...limitLines].join("\n"));
    const role = readDeployedRole();
    const command = [process.execPath, ...role.run.split(" ").slice(1)];
    const limited = maxDescriptors === undefined
        ? command
        : ["sh", "-c", `ulimit -n ${maxDescriptors}; exec ${command.join(" ")}`];
    return spawn(limited[0]!, limited.slice(1), {
        cwd: root,
        env: { PATH: process.env["PATH"], PIMENTOSPRING_CONFIG: file, ...role.env },
        stdio: ["ignore", "pipe", "inherit"],
    });
}

const maxAnswer = Buffer.alloc(20_000_000, "x");

const stalledBytes = 27_000_000;

interface AnsweringTarget {
    readonly id: string;
    readonly slotsPerTarget: number;
    readonly workMs: number;
}

/** Answers `/a/<bytes>`, which may be followed by an id, with as many bytes, and `/a/stalled` with a part of its answer. */
function answerAs({ id, slotsPerTarget, workMs }: AnsweringTarget, received: IncomingMessage, response: ServerResponse): void {
    received.resume();
    received.once("end", async () => {
        if (received.url === "/health") {
            response.writeHead(200, { "X-Instance-Id": id }).end();
            return;
        }
        if (received.url === "/a/stalled") {
            response.writeHead(200, { "Content-Length": stalledBytes + 1 });
            response.write(Buffer.alloc(stalledBytes));
            return;
        }
        if (workMs > 0) {
            await sleep(workMs);
        }
        const body = maxAnswer.subarray(0, Number(received.url!.split("/")[2]));
        response.writeHead(200, {
            "X-Server-Stamp": "stamp",
            "X-Request-Id": String(received.headers["x-request-id"]),
            "X-Server-Load": `1,0,${slotsPerTarget},100`,
            "Content-Length": body.length,
        });
        response.end(body);
    });
}

type AnswerEnd = keyof AnswerCounts;

async function repeatCalls(callers: number, until: number, call: (id: string) => Promise<AnswerEnd>): Promise<AnswerCounts> {
    const counts: AnswerCounts = { whole: 0, cut: 0, refused: 0, none: 0 };
    const repeat = async (caller: number): Promise<void> => {
        await sleep(caller * firstCallIntervalMs);
        for (let round = 0; performance.now() < until; round++) {
            counts[await call(`c${caller}-${round}`)]++;
            await sleep(200);
        }
    };
    await Promise.all(Array.from({ length: callers }, (_, caller) => repeat(caller)));
    return counts;
}

const tickMs = 20;
/** Between the first calls of two callers. */
const firstCallIntervalMs = 15;
const requestHead = (method: string, path: string, id: string): string =>
    `${method} ${path} HTTP/1.1\r\nHost: ${standinHost}\r\nX-Request-Id: ${id}\r\nX-Deadline-Ms: 8000\r\n`;

/** Reads what has arrived of an answer; `end` is known once it is complete. */
class AnswerReader {
    private head = "";
    private receivedBytes = 0;
    private expectedBytes = Infinity;

    add(chunk: Buffer): void {
        this.receivedBytes += chunk.length;
        if (this.expectedBytes !== Infinity) {
            return;
        }
        this.head += chunk.toString("latin1");
        const headBytes = this.head.indexOf("\r\n\r\n") + 4;
        if (headBytes >= 4) {
            this.expectedBytes = headBytes + Number(/content-length: (\d+)/i.exec(this.head)?.[1] ?? 0);
        }
    }

    isWhole(): boolean {
        return this.receivedBytes >= this.expectedBytes;
    }

    end(): AnswerEnd {
        if (this.expectedBytes === Infinity) {
            return "none";
        }
        if (!this.head.startsWith("HTTP/1.1 200")) {
            return "refused";
        }
        return this.isWhole() ? "whole" : "cut";
    }
}

function callSlowly(socket: Socket, path: string, id: string, bytesPerTick: number): Promise<AnswerEnd> {
    const reader = new AnswerReader();
    socket.write(`${requestHead("GET", path, id)}\r\n`);
    // With a listener but no reads, the socket buffers little and leaves the rest to the system.
    socket.on("readable", () => {});
    const ticks = setInterval(() => {
        for (let left = bytesPerTick; left > 0;) {
            const chunk = socket.read() as Buffer | null;
            if (chunk === null) {
                break;
            }
            left -= chunk.length;
            reader.add(chunk);
        }
        if (reader.isWhole()) {
            socket.destroy();
        }
    }, tickMs);
    return new Promise(resolve =>
        socket.once("close", () => {
            clearInterval(ticks);
            resolve(reader.end());
        })
    );
}

function callWithBody(socket: Socket, id: string, bodyBytes: number): Promise<AnswerEnd> {
    const reader = new AnswerReader();
    socket.write(`${requestHead("POST", `/a/100/${id}`, id)}Content-Length: ${bodyBytes}\r\n\r\n`);
    socket.write(maxAnswer.subarray(0, bodyBytes));
    socket.on("data", chunk => {
        reader.add(chunk);
        if (reader.isWhole()) {
            socket.destroy();
        }
    });
    return new Promise(resolve => socket.once("close", () => resolve(reader.end())));
}
