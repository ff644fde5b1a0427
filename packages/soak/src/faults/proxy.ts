/** A TCP proxy on a loopback address that injects faults into its connections. */
import { watchConnectionEnd } from "@pimentospring/runtime/http/connectionEnd";
import net from "node:net";
import type { AddressInfo } from "node:net";

/** Fault of all connections, open and new ones, while it is set. */
export type ProxyFault =
    | { readonly kind: "none"; }
    /** Bytes are delayed in both directions. */
    | { readonly kind: "delay"; readonly delayMs: number; }
    /** Open connections are reset; new ones are reset on arrival. */
    | { readonly kind: "reset"; }
    /** Connections stay open, but all bytes are dropped. */
    | { readonly kind: "silence"; }
    /** Bytes from the client are dropped; the other direction works. */
    | { readonly kind: "cutUp"; }
    /** Bytes from the upstream are dropped; the other direction works. */
    | { readonly kind: "cutDown"; };

export interface Proxy {
    readonly address: string;
    /** Sets the upstream address of new connections. */
    setUpstream(address: string): void;
    setFault(fault: ProxyFault): void;
    /** Resets the open connections for which `isChosen` returns true. */
    resetSome(isChosen: () => boolean): void;
    close(): void;
}

interface ProxiedConnection {
    readonly client: net.Socket;
    readonly upstream: net.Socket;
    /** Bytes were dropped: all later bytes are dropped too. */
    hasDroppedBytes: boolean;
}

export async function startProxy(host: string, upstream: string): Promise<Proxy> {
    let upstreamAddress = upstream;
    let fault: ProxyFault = { kind: "none" };
    const connections = new Set<ProxiedConnection>();

    const shouldDiscard = (connection: ProxiedConnection, isUp: boolean): boolean => {
        const isDiscarding = fault.kind === "silence" || fault.kind === (isUp ? "cutUp" : "cutDown");
        connection.hasDroppedBytes ||= isDiscarding;
        // Later bytes must not follow a gap in the stream.
        return connection.hasDroppedBytes;
    };
    // A socket that is still connecting can't be reset: resetAndDestroy would wait for the connection forever.
    const closeSocket = (socket: net.Socket): void => void (socket.connecting ? socket.destroy() : socket.resetAndDestroy());
    const reset = (connection: ProxiedConnection): void => {
        connections.delete(connection);
        closeSocket(connection.client);
        closeSocket(connection.upstream);
    };
    const pipe = (connection: ProxiedConnection, from: net.Socket, to: net.Socket, isUp: boolean): void => {
        const connectionEnd = watchConnectionEnd(from);
        const delayed: (() => void)[] = [];
        const deliver = (forward: () => void): void => {
            if (shouldDiscard(connection, isUp)) {
                return;
            }
            const delayMs = fault.kind === "delay" ? fault.delayMs : 0;
            if (delayMs === 0 && delayed.length === 0) {
                forward();
                return;
            }
            // What arrives after a delay has ended must not overtake what is still delayed.
            delayed.push(forward);
            setTimeout(() => delayed.shift()!(), delayMs);
        };
        const end = (): void => void (connectionEnd() === "broken" ? closeSocket(to) : to.end());
        from.on("data", chunk => deliver(() => to.write(chunk)));
        from.on("end", () => deliver(end));
        from.on("error", () => deliver(() => closeSocket(to)));
        from.on("close", () => {
            if (connection.client.destroyed && connection.upstream.destroyed) {
                connections.delete(connection);
            }
        });
    };
    const server = net.createServer({ allowHalfOpen: true }, down => {
        if (fault.kind === "reset") {
            down.resetAndDestroy();
            return;
        }
        const [toHost, toPort] = upstreamAddress.split(":");
        const upstreamSocket = net.connect({ host: toHost, port: Number(toPort), allowHalfOpen: true, noDelay: true });
        down.setNoDelay(true);
        const connection: ProxiedConnection = { client: down, upstream: upstreamSocket, hasDroppedBytes: false };
        connections.add(connection);
        pipe(connection, down, upstreamSocket, true);
        pipe(connection, upstreamSocket, down, false);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, resolve);
    });
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        setUpstream: address => {
            upstreamAddress = address;
        },
        setFault: next => {
            fault = next;
            if (next.kind === "reset") {
                [...connections].forEach(reset);
            }
        },
        resetSome: isChosen => [...connections].filter(isChosen).forEach(reset),
        close: () => {
            server.close();
            [...connections].forEach(reset);
        },
    };
}
