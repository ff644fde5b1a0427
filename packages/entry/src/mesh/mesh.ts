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
import { maxMeshFrameBytes, reconnectDelayMs } from "../constants.js";
import type { AttemptHandle, AttemptListener } from "../exchange/exchange.js";
import { type AcceptedSession, acceptSession, type PeerRequest } from "./acceptedSession.js";
import { dial, type DialledSession, type StreamRequest } from "./dialledSession.js";
import type { MeshKeys } from "./handshake.js";

export interface Mesh {
    /** Learns of an address to dial. */
    addPeerAddress(address: Address): void;
    /** Stops dialling an address that is gone for good. */
    removePeerAddress(address: Address): void;
    sendMessage(to: InstanceId, message: PeerMessage): void;
    /** Opens a stream; undefined when there is no session to the peer. */
    openStream(to: InstanceId, wish: StreamRequest, events: AttemptListener): AttemptHandle | undefined;
    close(): Promise<void>;
}

export interface MeshOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly log: Log;
    readonly listen: string;
    readonly self: MemberInfo;
    readonly keys: MeshKeys;
    readonly onMessage: (from: InstanceId, message: PeerMessage) => void;
    readonly onPeerConnected: (member: MemberInfo) => void;
    /** Nothing listens at the address. */
    readonly onConnectionRefused: (address: Address) => void;
    readonly onRequest: (request: PeerRequest) => () => void;
}

interface PeerLink {
    session: DialledSession | undefined;
    isDialling: boolean;
    dialAt: number;
    /** The last failure logged, so that each is logged once. */
    lastFailure: string;
}

/** Time between two looks at the lines, in milliseconds. */
const linkCheckIntervalMs = 100;

export async function createMesh(options: MeshOptions): Promise<Mesh> {
    const { timer, log, self } = options;
    const links = new Map<Address, PeerLink>();
    const accepted = new Map<InstanceId, AcceptedSession>();
    const ownAddress = addressOf(self.instance);

    const addPeerAddress = (address: Address): void => {
        if (address !== ownAddress && !links.has(address)) {
            links.set(address, { session: undefined, isDialling: false, dialAt: timer.now(), lastFailure: "" });
        }
    };
    const dialPeer = (address: Address, line: PeerLink): void => {
        line.isDialling = true;
        const replaced = line.session;
        const finishDial = (): void => {
            line.isDialling = false;
            line.dialAt = timer.now() + reconnectDelayMs * (0.5 + options.random.next());
        };
        dial({
            timer,
            address,
            self,
            keys: options.keys,
            onMessage: (from, message) => options.onMessage(from.instance, message),
            onOpen: session => {
                finishDial();
                line.session = session;
                line.lastFailure = "";
                if (replaced !== undefined) {
                    log.write(logEvents.peerSilent, { peer: session.member.instance });
                    replaced.close();
                }
                options.onPeerConnected(session.member);
            },
            onFailure: (failure, reason) => {
                finishDial();
                if (failure === "refused") {
                    options.onConnectionRefused(address);
                }
                if (failure === "rejected" && line.lastFailure !== reason) {
                    log.write(logEvents.peerRefused, { address, reason });
                }
                line.lastFailure = reason;
            },
            onClose: session => {
                if (line.session === session) {
                    log.write(logEvents.peerLost, { peer: session.member.instance });
                    line.session = undefined;
                    line.dialAt = timer.now();
                }
            },
        });
    };
    const checkLinks = (): void => {
        for (const [address, line] of links) {
            const needsDial = line.session === undefined || line.session.isUnresponsive();
            if (needsDial && !line.isDialling && timer.now() >= line.dialAt) {
                dialPeer(address, line);
            }
        }
    };
    const cancelLinkCheck = timer.subscribe(linkCheckIntervalMs, checkLinks);

    const server = createServer((_request, response) => {
        response.writeHead(426, { "content-length": 0 });
        response.end();
    });
    const webSockets = new WebSocketServer({ server, path: "/mesh", maxPayload: maxMeshFrameBytes, perMessageDeflate: false });
    webSockets.on("connection", socket =>
        acceptSession({
            timer,
            socket,
            self,
            keys: options.keys,
            onOpen: session => {
                accepted.set(session.member.instance, session);
                addPeerAddress(addressOf(session.member.instance));
                options.onPeerConnected(session.member);
            },
            onMessage: (from, message) => options.onMessage(from.instance, message),
            onRequest: options.onRequest,
            onRefusal: reason => log.write(logEvents.peerRefused, { reason }),
            onClose: session => {
                if (accepted.get(session.member.instance) === session) {
                    accepted.delete(session.member.instance);
                }
            },
        }));
    const { host, port } = splitAddress(options.listen);
    await listen(server, host, port);

    const sessionTo = (instance: InstanceId): DialledSession | undefined => {
        const session = links.get(addressOf(instance))?.session;
        return session?.member.instance === instance ? session : undefined;
    };
    return {
        addPeerAddress: addPeerAddress,
        removePeerAddress: address => {
            links.get(address)?.session?.close();
            links.delete(address);
        },
        sendMessage: (to, message) => {
            // An acknowledgement goes back where the heartbeat came from: it tells that the session is not silent.
            const [first, second] = message.kind === "acknowledgement"
                ? [accepted.get(to), sessionTo(to)]
                : [sessionTo(to), accepted.get(to)];
            (first ?? second)?.sendMessage(message);
        },
        openStream: (to, wish, events) => sessionTo(to)?.openStream(wish, events),
        close: async () => {
            cancelLinkCheck();
            for (const line of links.values()) {
                line.session?.close();
            }
            webSockets.clients.forEach(client => client.terminate());
            await new Promise<void>(resolve => webSockets.close(() => server.close(() => resolve())));
        },
    };
}
