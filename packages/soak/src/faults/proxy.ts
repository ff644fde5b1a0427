/** A TCP proxy on a loopback address that harms the connections through it. */
import net from "node:net";
import type { AddressInfo } from "node:net";

/** What happens to connections, open and new ones, while it is set. */
export type ProxyFault =
    | { readonly kind: "none"; }
    /** Bytes arrive later, both ways. */
    | { readonly kind: "delay"; readonly delayMs: number; }
    /** Connections are reset, new ones at once. */
    | { readonly kind: "reset"; }
    /** Connections stay open and nothing arrives, ever. */
    | { readonly kind: "silence"; }
    /** What the dialling side sends does not arrive; the other way works. */
    | { readonly kind: "cutUp"; }
    /** What the dialled side sends does not arrive. */
    | { readonly kind: "cutDown"; };

export interface Proxy {
    readonly address: string;
    /** Address to which connections go. */
    setUpstream(address: string): void;
    setFault(fault: ProxyFault): void;
    /** Resets this part of the open connections, once. */
    resetSome(isChosen: () => boolean): void;
    close(): void;
}

interface Pair {
    readonly down: net.Socket;
    readonly up: net.Socket;
    /** Bytes of it were lost: it never works again. */
    isHarmed: boolean;
}

export async function startProxy(host: string, upstream: string): Promise<Proxy> {
    let target = upstream;
    let fault: ProxyFault = { kind: "none" };
    const pairs = new Set<Pair>();

    const isLost = (pair: Pair, isUp: boolean): boolean => {
        const lost = fault.kind === "silence" || fault.kind === (isUp ? "cutUp" : "cutDown");
        pair.isHarmed ||= lost;
        // A gap in the stream must not be followed by later bytes.
        return pair.isHarmed;
    };
    // A socket that still dials can't be reset; it would wait for its connection for ever.
    const end = (socket: net.Socket): void => void (socket.connecting ? socket.destroy() : socket.resetAndDestroy());
    const reset = (pair: Pair): void => {
        pairs.delete(pair);
        end(pair.down);
        end(pair.up);
    };
    const pipe = (pair: Pair, from: net.Socket, to: net.Socket, isUp: boolean): void => {
        const deliver = (act: () => void): void => {
            if (isLost(pair, isUp)) {
                return;
            }
            if (fault.kind === "delay") {
                setTimeout(act, fault.delayMs);
            }
            else {
                act();
            }
        };
        from.on("data", chunk => deliver(() => to.write(chunk)));
        from.on("end", () => deliver(() => to.end()));
        from.on("error", () => deliver(() => end(to)));
        from.on("close", () => {
            if (pair.down.destroyed && pair.up.destroyed) {
                pairs.delete(pair);
            }
        });
    };
    const server = net.createServer({ allowHalfOpen: true }, down => {
        if (fault.kind === "reset") {
            down.resetAndDestroy();
            return;
        }
        const [toHost, toPort] = target.split(":");
        const up = net.connect({ host: toHost, port: Number(toPort), allowHalfOpen: true, noDelay: true });
        down.setNoDelay(true);
        const pair: Pair = { down, up, isHarmed: false };
        pairs.add(pair);
        pipe(pair, down, up, true);
        pipe(pair, up, down, false);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(0, host, resolve);
    });
    return {
        address: `${host}:${(server.address() as AddressInfo).port}`,
        setUpstream: address => {
            target = address;
        },
        setFault: next => {
            fault = next;
            if (next.kind === "reset") {
                [...pairs].forEach(reset);
            }
        },
        resetSome: isChosen => [...pairs].filter(isChosen).forEach(reset),
        close: () => {
            server.close();
            [...pairs].forEach(reset);
        },
    };
}
