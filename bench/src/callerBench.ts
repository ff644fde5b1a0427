/**
 * `npm run bench -- callers`: processor time of the bounds on what a caller's connection may hold, compared with that of a forwarded
 * request. Measured as the difference between two bare servers, in rounds that alternate.
 */
import { type ConnectionInput, createConnectionInput } from "@pimentospring/runtime/http/connectionInput";
import { listen } from "@pimentospring/runtime/http/jsonServer";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import { spawn } from "node:child_process";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { fileURLToPath } from "node:url";
import { medianOf, printTable } from "./report.js";
import { measureForwarding } from "./steerProcess.js";

const loader = fileURLToPath(new URL("loader.js", import.meta.url));
const connections = 16;
const roundMs = 1_000;
const rounds = 6;
const maxRatio = 0.02;

export async function callerBench(): Promise<void> {
    const forwarding = await measureForwarding();
    const bare = createServer((_request, response) => respond(response));
    const input: { current?: ConnectionInput; } = {};
    const bounded = createServer((_request: IncomingMessage, response) =>
        input.current!.enter(response, () => respond(response))
    );
    input.current = createConnectionInput({
        server: bounded,
        timer: createClockTimer(),
        unreadBytesOf: () => 0,
        onUnread: () => {},
        maxHeldBytes: Infinity,
        onExcess: () => {},
    });
    const servers = [bare, bounded] as const;
    const ports = await Promise.all(servers.map(async server => (await listen(server, "127.0.0.1", 0)).port));
    const costs: [number[], number[]] = [[], []];
    for (let round = 0; round <= rounds; round++) {
        for (const index of [0, 1] as const) {
            const micros = await measureRound(servers[index], ports[index]!);
            // The first round compiles the code.
            if (round > 0) {
                costs[index].push(micros);
            }
        }
    }
    servers.forEach(server => server.close());
    const micros = medianOf(costs[1].map((cost, round) => cost - costs[0][round]!));
    const ratio = micros / forwarding.cpuMicros;
    printTable(["", "processor time, us"], [
        ["forwarded request", forwarding.cpuMicros.toFixed(1)],
        ["bare server", medianOf(costs[0]).toFixed(1)],
        ["with bounds on its connections", medianOf(costs[1]).toFixed(1)],
    ]);
    printTable(["bounds for each request, us", "of a forwarded request", "aim"], [
        [micros.toFixed(2), `${(100 * ratio).toFixed(2)}%`, `under ${100 * maxRatio}%`],
    ]);
}

function respond(response: ServerResponse): void {
    response.writeHead(200, ["Content-Length", "2"]);
    response.end("ok");
}

/** Processor time of this process for each request that the server gets in a round, in microseconds. */
async function measureRound(server: Server, port: number): Promise<number> {
    let served = 0;
    const count = (): void => void served++;
    server.on("request", count);
    const before = process.cpuUsage();
    const child = spawn(process.execPath, [loader, `http://127.0.0.1:${port}/x`, String(connections), String(roundMs)], {
        stdio: ["ignore", "ignore", "inherit"],
    });
    await new Promise(resolve => child.once("close", resolve));
    const { user, system } = process.cpuUsage(before);
    server.off("request", count);
    return (user + system) / served;
}
