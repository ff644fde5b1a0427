/** Callers that do not keep to the limits of HTTP requests, and come back when their connections are closed. */
import { standinHost } from "@pimentospring/standin/direct/operatorStandin";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Sends on an open connection. Each write waits until the one before has left the process. */
export interface CallerConnection {
    write(data: Buffer | string): Promise<void>;
    isOpen(): boolean;
    /** Stops reading responses. */
    stopReading(): void;
}

/** What a caller sends on each of its connections. */
export type Behaviour = (connection: CallerConnection, caller: number) => Promise<void>;

export interface OutsideCallers {
    /** Resolves once each caller has sent everything on one connection, or has lost one. */
    readonly firstRound: Promise<unknown>;
    stop(): void;
}

const reconnectDelayMs = 500;

export const requestHead = (method: string, path: string, ...fields: readonly string[]): string =>
    [`${method} ${path} HTTP/1.1`, `Host: ${standinHost}`, ...fields, "", ""].join("\r\n");

export function startOutsideCallers(count: number, connect: () => Socket, behaviour: Behaviour): OutsideCallers {
    let isStopped = false;
    const sockets = new Set<Socket>();
    const call = async (caller: number): Promise<void> => {
        const socket = connect();
        sockets.add(socket);
        // Responses are dropped as they arrive unless the behaviour stops that.
        socket.resume();
        const closed = new Promise<void>(resolve => socket.once("close", () => resolve()));
        void closed.then(() => sockets.delete(socket));
        const write = async (data: Buffer | string): Promise<void> => {
            const written = new Promise<void>(resolve => socket.write(data, () => resolve()));
            await Promise.race([written, closed]);
        };
        const connection = { write, isOpen: () => !socket.destroyed && !isStopped, stopReading: () => socket.pause() };
        await Promise.race([behaviour(connection, caller), closed]);
        void closed.then(() => sleep(reconnectDelayMs)).then(() => isStopped ? undefined : call(caller));
    };
    const firstRound = Promise.all(Array.from({ length: count }, (_, caller) => call(caller)));
    return {
        firstRound,
        stop: () => {
            isStopped = true;
            sockets.forEach(socket => socket.destroy());
        },
    };
}
