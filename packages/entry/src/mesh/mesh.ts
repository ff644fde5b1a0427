/**
 * Keeps a session to every known entry: dials the addresses given by the settings, the platform's list and other entries,
 * reconnects after a loss, and replaces a session that no longer responds.
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
    /** Adds an address to dial; a known address and this entry's own are ignored. */
    addPeerAddress(address: Address): void;
    /** Closes the session to an address and stops dialling it. */
    removePeerAddress(address: Address): void;
    sendMessage(to: InstanceId, message: PeerMessage): void;
    /** Opens a stream; undefined when there is no session to the peer. */
    openStream(to: InstanceId, request: StreamRequest, listener: AttemptListener): AttemptHandle | undefined;
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
    /** Called when the connection was refused: no process listens at the address. */
    readonly onConnectionRefused: (address: Address) => void;
    readonly onRequest: (request: PeerRequest) => () => void;
}

interface PeerLink {
    session: DialledSession | undefined;
    isDialling: boolean;
    dialAt: number;
    /** Reason of the last failure; the same refusal is not logged again. */
    lastFailure: string;
}

/** Interval at which links are checked for sessions to open or replace. */
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
    const dialPeer = (address: Address, link: PeerLink): void => {
        link.isDialling = true;
        const replaced = link.session;
        const finishDial = (): void => {
            link.isDialling = false;
            link.dialAt = timer.now() + reconnectDelayMs * (0.5 + options.random.next());
        };
        dial({
            timer,
            address,
            self,
            keys: options.keys,
            onMessage: (from, message) => options.onMessage(from.instance, message),
            onOpen: session => {
                finishDial();
                link.session = session;
                link.lastFailure = "";
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
                if (failure === "rejected" && link.lastFailure !== reason) {
                    log.write(logEvents.peerRefused, { address, reason });
                }
                link.lastFailure = reason;
            },
            onClose: session => {
                if (link.session === session) {
                    log.write(logEvents.peerLost, { peer: session.member.instance });
                    link.session = undefined;
                    link.dialAt = timer.now();
                }
            },
        });
    };
    const checkLinks = (): void => {
        for (const [address, link] of links) {
            const needsDial = link.session === undefined || link.session.isUnresponsive();
            if (needsDial && !link.isDialling && timer.now() >= link.dialAt) {
                dialPeer(address, link);
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
        addPeerAddress,
        removePeerAddress: address => {
            links.get(address)?.session?.close();
            links.delete(address);
        },
        sendMessage: (to, message) => {
            // An acknowledgement returns on the session that carried the heartbeat, to show its dialler that the session responds.
            const [first, second] = message.kind === "acknowledgement"
                ? [accepted.get(to), sessionTo(to)]
                : [sessionTo(to), accepted.get(to)];
            (first ?? second)?.sendMessage(message);
        },
        openStream: (to, request, listener) => sessionTo(to)?.openStream(request, listener),
        close: async () => {
            cancelLinkCheck();
            for (const link of links.values()) {
                link.session?.close();
            }
            webSockets.clients.forEach(client => client.terminate());
            await new Promise<void>(resolve => webSockets.close(() => server.close(() => resolve())));
        },
    };
}
