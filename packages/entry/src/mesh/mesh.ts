/**
 * Keeps a session to every known entry: dials those named by the settings, the platform's list and other entries, dials
 * again what was lost, and replaces a session that went silent by a fresh one.
 */
import { type Address, addressOf, type InstanceId } from "@pimentospring/core/ids";
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import type { Random } from "@pimentospring/core/random/random";
import type { Timer } from "@pimentospring/core/time/timer";
import { listen, splitAddress } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createServer } from "node:http";
import { WebSocketServer } from "ws";
import { meshFrameBytes, redialMs } from "../constants.js";
import type { Try, TryEvents } from "../exchange/exchange.js";
import { type AcceptedSession, acceptSession, type PeerRequest } from "./acceptedSession.js";
import { dial, type DialledSession, type StreamWish } from "./dialledSession.js";
import type { MeshKeys } from "./handshake.js";

export interface Mesh {
    /** Learns of an address to dial. */
    learn(address: Address): void;
    /** Stops dialling an address that is gone for good. */
    forget(address: Address): void;
    message(to: InstanceId, message: PeerMessage): void;
    /** Opens a stream; undefined when there is no session to the peer. */
    open(to: InstanceId, wish: StreamWish, events: TryEvents): Try | undefined;
    close(): Promise<void>;
}

export interface MeshOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly listen: string;
    readonly self: MemberInfo;
    readonly keys: MeshKeys;
    readonly received: (from: InstanceId, message: PeerMessage) => void;
    readonly met: (member: MemberInfo) => void;
    /** Nothing listens at the address. */
    readonly refused: (address: Address) => void;
    readonly requested: (request: PeerRequest) => () => void;
}

interface Line {
    session: DialledSession | undefined;
    isDialling: boolean;
    dialAt: number;
    /** The last failure logged, so that each is logged once. */
    lastFailure: string;
}

/** Time between two looks at the lines, in milliseconds. */
const lookMs = 100;

export async function createMesh(options: MeshOptions): Promise<Mesh> {
    const { timer, log, self } = options;
    const lines = new Map<Address, Line>();
    const accepted = new Map<InstanceId, AcceptedSession>();
    const ownAddress = addressOf(self.instance);

    const learn = (address: Address): void => {
        if (address !== ownAddress && !lines.has(address)) {
            lines.set(address, { session: undefined, isDialling: false, dialAt: timer.now(), lastFailure: "" });
        }
    };
    const startDial = (address: Address, line: Line): void => {
        line.isDialling = true;
        const replaced = line.session;
        const done = (): void => {
            line.isDialling = false;
            line.dialAt = timer.now() + redialMs * (0.5 + options.random.next());
        };
        dial({
            timer,
            address,
            self,
            keys: options.keys,
            received: (from, message) => options.received(from.instance, message),
            opened: session => {
                done();
                line.session = session;
                line.lastFailure = "";
                if (replaced !== undefined) {
                    log.write(logEvents.peerSilent, { peer: session.member.instance });
                    replaced.close();
                }
                options.met(session.member);
            },
            failed: (failure, reason) => {
                done();
                if (failure === "refused") {
                    options.refused(address);
                }
                if (failure === "rejected" && line.lastFailure !== reason) {
                    log.write(logEvents.peerRefused, { address, reason });
                }
                line.lastFailure = reason;
            },
            closed: session => {
                if (line.session === session) {
                    log.write(logEvents.peerLost, { peer: session.member.instance });
                    line.session = undefined;
                    line.dialAt = timer.now();
                }
            },
        });
    };
    const look = (): void => {
        for (const [address, line] of lines) {
            const wantsDial = line.session === undefined || line.session.isSilent();
            if (wantsDial && !line.isDialling && timer.now() >= line.dialAt) {
                startDial(address, line);
            }
        }
    };
    const cancelLook = timer.subscribe(lookMs, look);

    const server = createServer((_request, response) => {
        response.writeHead(426, { "content-length": 0 });
        response.end();
    });
    const webSockets = new WebSocketServer({ server, path: "/mesh", maxPayload: meshFrameBytes, perMessageDeflate: false });
    webSockets.on("connection", socket =>
        acceptSession({
            timer,
            socket,
            self,
            keys: options.keys,
            opened: session => {
                accepted.set(session.member.instance, session);
                learn(addressOf(session.member.instance));
                options.met(session.member);
            },
            received: (from, message) => options.received(from.instance, message),
            requested: options.requested,
            refused: reason => log.write(logEvents.peerRefused, { reason }),
            closed: session => {
                if (accepted.get(session.member.instance) === session) {
                    accepted.delete(session.member.instance);
                }
            },
        }));
    const { host, port } = splitAddress(options.listen);
    await listen(server, host, port);

    const sessionTo = (instance: InstanceId): DialledSession | undefined => {
        const session = lines.get(addressOf(instance))?.session;
        return session?.member.instance === instance ? session : undefined;
    };
    return {
        learn,
        forget: address => {
            lines.get(address)?.session?.close();
            lines.delete(address);
        },
        message: (to, message) => {
            // An acknowledgement goes back where the heartbeat came from: it tells that the session is not silent.
            const [first, second] = message.kind === "acknowledgement"
                ? [accepted.get(to), sessionTo(to)]
                : [sessionTo(to), accepted.get(to)];
            (first ?? second)?.message(message);
        },
        open: (to, wish, events) => sessionTo(to)?.open(wish, events),
        close: async () => {
            cancelLook();
            for (const line of lines.values()) {
                line.session?.close();
            }
            webSockets.clients.forEach(client => client.terminate());
            await new Promise<void>(resolve => webSockets.close(() => server.close(() => resolve())));
        },
    };
}
