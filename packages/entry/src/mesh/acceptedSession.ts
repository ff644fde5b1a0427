/** Accepting side of a mesh session: verifies the peer's key, receives messages and serves streams. */
import { type MemberInfo, type PeerMessage } from "@pimentospring/core/membership/messages";
import { results } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import { PassThrough } from "node:stream";
import * as v from "valibot";
import type { WebSocket } from "ws";
import { handshakeTimeoutMs, meshProtocolVersion } from "../constants.js";
import type { ResponseWriter } from "../exchange/exchange.js";
import { decodeFrame, encodeFrame, type Frame, type HelloFrame, type OpenFrame } from "./frames.js";
import { createNonce, createProof, findProofKey, type MeshKeys } from "./handshake.js";
import { createFrameSender, type FrameSender } from "./sender.js";

/** A request forwarded by a peer. */
export interface PeerRequest {
    readonly from: MemberInfo;
    readonly open: OpenFrame;
    readonly body: Uint8Array | PassThrough | undefined;
    readonly responseWriter: ResponseWriter;
}

export interface AcceptedSession {
    readonly member: MemberInfo;
    sendMessage(message: PeerMessage): void;
    close(): void;
}

export interface AcceptOptions {
    readonly timer: Timer;
    readonly socket: WebSocket;
    readonly self: MemberInfo;
    readonly keys: MeshKeys;
    readonly onOpen: (session: AcceptedSession) => void;
    readonly onMessage: (from: MemberInfo, message: PeerMessage) => void;
    /** Returns a function to call when the peer cancels the request or the session ends. */
    readonly onRequest: (request: PeerRequest) => () => void;
    readonly onRefusal: (reason: string) => void;
    readonly onClose: (session: AcceptedSession) => void;
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
    const nonce = createNonce();
    let hello: HelloFrame | undefined;
    let handleFrame: ((frame: Frame) => void) | undefined;
    let session: AcceptedSession | undefined;
    const refuse = (reason: string): void => {
        options.onRefusal(reason);
        socket.send(encodeFrame({ kind: "refused", reason }));
        socket.close();
    };
    const cancelTimeout = options.timer.after(handshakeTimeoutMs * 2, () => {
        if (session === undefined) {
            socket.terminate();
        }
    });
    const handleHello = (frame: Frame): void => {
        if (!v.is(helloSchema, frame)) {
            refuse("the session doesn't start with a hello");
            return;
        }
        hello = frame as HelloFrame;
        if (hello.version !== meshProtocolVersion) {
            refuse(`mesh version ${hello.version} is not ${meshProtocolVersion}`);
            return;
        }
        const proof = createProof(keys.current, "acceptor", hello.nonce, nonce, options.self.instance);
        socket.send(encodeFrame({ kind: "welcome", version: meshProtocolVersion, member: options.self, nonce, proof }));
    };
    const handleProof = (frame: Frame, from: HelloFrame): void => {
        const proof = frame.kind === "proof" ? frame.proof : "";
        if (findProofKey(keys, proof, "dialer", from.nonce, nonce, from.member.instance) === undefined) {
            refuse("the key is wrong");
            return;
        }
        const opened = openSession(options, from.member);
        session = opened.session;
        handleFrame = opened.handleFrame;
        options.onOpen(session);
    };
    socket.on("message", bytes => {
        const frame = decodeFrame(bytes as Buffer);
        if (frame === undefined) {
            refuse("a frame can't be decoded");
        }
        else if (handleFrame !== undefined) {
            handleFrame(frame);
        }
        else if (hello === undefined) {
            handleHello(frame);
        }
        else {
            handleProof(frame, hello);
        }
    });
    socket.on("error", () => socket.terminate());
    socket.on("close", () => {
        cancelTimeout();
        if (session !== undefined) {
            options.onClose(session);
        }
    });
}

interface IncomingStream {
    readonly body: PassThrough | undefined;
    readonly abandon: () => void;
    drained: (() => void) | undefined;
}

function openSession(options: AcceptOptions, member: MemberInfo) {
    const { socket } = options;
    const sender = createFrameSender(socket);
    const streams = new Map<number, IncomingStream>();

    const removeStream = (stream: number): void => void streams.delete(stream);
    const handleOpen = (frame: OpenFrame): void => {
        if (!v.is(openSchema, frame)) {
            socket.terminate();
            return;
        }
        // The codec encodes undefined as nil, so a body that is not in the frame is decoded as null.
        const bufferedBody = frame.body ?? undefined;
        const hasStream = bufferedBody === undefined && frame.bodyBytes !== 0;
        const body = hasStream ? new PassThrough() : undefined;
        const responseWriter = createPeerResponseWriter(sender, frame.stream, () => removeStream(frame.stream));
        const served: { abandon: () => void; } = { abandon: () => {} };
        streams.set(frame.stream, { body, abandon: () => served.abandon(), drained: undefined });
        served.abandon = options.onRequest({ from: member, open: frame, body: body ?? bufferedBody, responseWriter });
    };
    const handleData = (stream: number, bytes: Uint8Array): void => {
        const body = streams.get(stream)?.body;
        const sendCredit = (): void => sender.send({ kind: "credit", stream, bytes: bytes.length });
        if (body === undefined || body.write(bytes)) {
            sendCredit();
        }
        else {
            body.once("drain", sendCredit);
        }
    };
    const handleFrame = (frame: Frame): void => {
        switch (frame.kind) {
            case "message":
                options.onMessage(member, frame.message);
                break;
            case "open":
                handleOpen(frame);
                break;
            case "data":
                handleData(frame.stream, frame.bytes);
                break;
            case "end":
                streams.get(frame.stream)?.body?.end();
                break;
            case "fail":
                streams.get(frame.stream)?.body?.destroy(new Error("the request body was cut off at the peer"));
                break;
            case "cancel": {
                const served = streams.get(frame.stream);
                sender.discardStream(frame.stream);
                removeStream(frame.stream);
                served?.abandon();
                break;
            }
            case "credit":
                sender.addCredit(frame.stream, frame.bytes);
                break;
        }
    };
    socket.on("close", () => {
        const served = [...streams.values()];
        streams.clear();
        served.forEach(stream => {
            stream.body?.destroy(new Error("the mesh session to the peer closed"));
            stream.abandon();
        });
    });
    const session: AcceptedSession = {
        member,
        sendMessage: message => sender.send({ kind: "message", message }),
        close: () => socket.terminate(),
    };
    return { session, handleFrame };
}

/** Writes the response to a request on a peer's stream. */
function createPeerResponseWriter(sender: FrameSender, stream: number, onDone: () => void): ResponseWriter {
    return {
        writeHead: head => sender.send({ kind: "head", stream, ...head }),
        writeData: chunk => sender.sendData(stream, chunk),
        end: () => {
            onDone();
            sender.finishStream(stream, { kind: "end", stream });
        },
        refuse: result => {
            onDone();
            sender.send({ kind: "refuse", stream, code: result.code });
        },
        replay: answer => {
            onDone();
            const headers = { "content-type": answer.contentType };
            sender.send({ kind: "head", stream, status: answer.status, headers, code: results.answeredAgain.code });
            sender.sendData(stream, answer.body);
            sender.finishStream(stream, { kind: "end", stream });
        },
        abort: () => {
            onDone();
            sender.discardStream(stream);
            sender.send({ kind: "fail", stream });
        },
        onDrain: listener => sender.onDrain(stream, listener),
    };
}
