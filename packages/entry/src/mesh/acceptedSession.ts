/** The accepting side of a session: checks the key, takes messages and serves streams. */
import { type MemberInfo, type PeerMessage } from "@pimentospring/core/membership/messages";
import { results } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import { PassThrough } from "node:stream";
import * as v from "valibot";
import type { WebSocket } from "ws";
import { handshakeMs, meshVersion } from "../constants.js";
import type { Requester } from "../exchange/exchange.js";
import { decodeFrame, encodeFrame, type Frame, type Hello, type Open } from "./frames.js";
import { keyOfProof, type MeshKeys, newNonce, prove } from "./handshake.js";
import { createSender, type Sender } from "./sender.js";

/** A request that a peer passed on. */
export interface PeerRequest {
    readonly from: MemberInfo;
    readonly open: Open;
    readonly body: Uint8Array | PassThrough | undefined;
    readonly requester: Requester;
}

export interface AcceptedSession {
    readonly member: MemberInfo;
    message(message: PeerMessage): void;
    close(): void;
}

export interface AcceptOptions {
    readonly timer: Timer;
    readonly socket: WebSocket;
    readonly self: MemberInfo;
    readonly keys: MeshKeys;
    readonly opened: (session: AcceptedSession) => void;
    readonly received: (from: MemberInfo, message: PeerMessage) => void;
    /** Returns what to call when the peer gives the request up. */
    readonly requested: (request: PeerRequest) => () => void;
    readonly refused: (reason: string) => void;
    readonly closed: (session: AcceptedSession) => void;
}

const memberSchema = v.object({ instance: v.string(), dataCentre: v.string(), url: v.string() });
const helloSchema = v.object({ kind: v.literal("hello"), version: v.number(), member: memberSchema, nonce: v.string() });
const openSchema = v.object({
    stream: v.number(),
    attempt: v.number(),
    role: v.picklist(["redeem", "run"]),
    service: v.string(),
    method: v.string(),
    path: v.string(),
    headers: v.record(v.string(), v.any()),
    remainingMs: v.number(),
});

export function acceptSession(options: AcceptOptions): void {
    const { socket, keys } = options;
    const nonce = newNonce();
    let hello: Hello | undefined;
    let take: ((frame: Frame) => void) | undefined;
    let session: AcceptedSession | undefined;
    const refuse = (reason: string): void => {
        options.refused(reason);
        socket.send(encodeFrame({ kind: "refused", reason }));
        socket.close();
    };
    const cancelTimeout = options.timer.after(handshakeMs * 2, () => {
        if (session === undefined) {
            socket.terminate();
        }
    });
    const takeHello = (frame: Frame): void => {
        if (!v.is(helloSchema, frame)) {
            refuse("the session doesn't start with a hello");
            return;
        }
        hello = frame as Hello;
        if (hello.version !== meshVersion) {
            refuse(`mesh version ${hello.version} is not ${meshVersion}`);
            return;
        }
        const proof = prove(keys.current, "acceptor", hello.nonce, nonce, options.self.instance);
        socket.send(encodeFrame({ kind: "welcome", version: meshVersion, member: options.self, nonce, proof }));
    };
    const takeProof = (frame: Frame, from: Hello): void => {
        const proof = frame.kind === "proof" ? frame.proof : "";
        if (keyOfProof(keys, proof, "dialer", from.nonce, nonce, from.member.instance) === undefined) {
            refuse("the key is wrong");
            return;
        }
        const opened = openSession(options, from.member);
        session = opened.session;
        take = opened.take;
        options.opened(session);
    };
    socket.on("message", bytes => {
        const frame = decodeFrame(bytes as Buffer);
        if (frame === undefined) {
            refuse("a frame can't be decoded");
        }
        else if (take !== undefined) {
            take(frame);
        }
        else if (hello === undefined) {
            takeHello(frame);
        }
        else {
            takeProof(frame, hello);
        }
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
        cancelTimeout();
        if (session !== undefined) {
            options.closed(session);
        }
    });
}

interface ServedStream {
    readonly body: PassThrough | undefined;
    readonly abandon: () => void;
    drained: (() => void) | undefined;
}

function openSession(options: AcceptOptions, member: MemberInfo) {
    const { socket } = options;
    const sender = createSender(socket);
    const streams = new Map<number, ServedStream>();

    const forget = (stream: number): void => void streams.delete(stream);
    const takeOpen = (frame: Open): void => {
        if (!v.is(openSchema, frame)) {
            socket.terminate();
            return;
        }
        // The codec has no "undefined": a body that is not in the frame comes as null.
        const held = frame.body ?? undefined;
        const hasStream = held === undefined && frame.bodyBytes !== 0;
        const body = hasStream ? new PassThrough() : undefined;
        const requester = createRequester(sender, frame.stream, () => forget(frame.stream));
        const served: { abandon: () => void; } = { abandon: () => {} };
        streams.set(frame.stream, { body, abandon: () => served.abandon(), drained: undefined });
        served.abandon = options.requested({ from: member, open: frame, body: body ?? held, requester });
    };
    const takeBody = (stream: number, bytes: Uint8Array): void => {
        const body = streams.get(stream)?.body;
        const giveCredit = (): void => sender.send({ kind: "credit", stream, bytes: bytes.length });
        if (body === undefined || body.write(bytes)) {
            giveCredit();
        }
        else {
            body.once("drain", giveCredit);
        }
    };
    const take = (frame: Frame): void => {
        switch (frame.kind) {
            case "message":
                options.received(member, frame.message);
                break;
            case "open":
                takeOpen(frame);
                break;
            case "data":
                takeBody(frame.stream, frame.bytes);
                break;
            case "end":
                streams.get(frame.stream)?.body?.end();
                break;
            case "fail":
                streams.get(frame.stream)?.body?.destroy(new Error("the caller's body broke off"));
                break;
            case "cancel": {
                const served = streams.get(frame.stream);
                sender.drop(frame.stream);
                forget(frame.stream);
                served?.abandon();
                break;
            }
            case "credit":
                sender.credit(frame.stream, frame.bytes);
                break;
        }
    };
    socket.on("close", () => {
        const served = [...streams.values()];
        streams.clear();
        served.forEach(stream => {
            stream.body?.destroy(new Error("the session to the peer ended"));
            stream.abandon();
        });
    });
    const session: AcceptedSession = {
        member,
        message: message => sender.send({ kind: "message", message }),
        close: () => socket.terminate(),
    };
    return { session, take };
}

/** Answers a peer's stream. */
function createRequester(sender: Sender, stream: number, done: () => void): Requester {
    return {
        head: head => sender.send({ kind: "head", stream, ...head }),
        data: chunk => sender.data(stream, chunk),
        end: () => {
            done();
            sender.finish(stream, { kind: "end", stream });
        },
        refuse: result => {
            done();
            sender.send({ kind: "refuse", stream, code: result.code });
        },
        repeat: answer => {
            done();
            const headers = { "content-type": answer.contentType };
            sender.send({ kind: "head", stream, status: answer.status, headers, code: results.answeredAgain.code });
            sender.data(stream, answer.body);
            sender.finish(stream, { kind: "end", stream });
        },
        cut: () => {
            done();
            sender.drop(stream);
            sender.send({ kind: "fail", stream });
        },
        whenDrained: listener => sender.whenDrained(stream, listener),
    };
}
