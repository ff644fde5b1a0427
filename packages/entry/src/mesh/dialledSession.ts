/** Dialling side of a mesh session: proves the key, sends messages and opens streams. */
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import { resultByCode, results } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import { WebSocket } from "ws";
import { handshakeTimeoutMs, maxMeshFrameBytes, meshProtocolVersion, sessionReceiveTimeoutMs } from "../constants.js";
import type { AttemptHandle, AttemptListener, OutgoingRequest } from "../exchange/exchange.js";
import { decodeFrame, encodeFrame, type Frame, type OpenFrame, type WelcomeFrame } from "./frames.js";
import { createNonce, createProof, findProofKey, type MeshKeys } from "./handshake.js";
import { createFrameSender, type FrameSender } from "./sender.js";

export type DialFailure =
    /** The connection was refused: no process listens at the address any more. */
    | "refused"
    /** The peer has another key or protocol version. */
    | "rejected"
    | "failed";

export interface DialledSession {
    readonly member: MemberInfo;
    sendMessage(message: PeerMessage): void;
    openStream(request: StreamRequest, listener: AttemptListener): AttemptHandle;
    /** Whether nothing was received for `sessionReceiveTimeoutMs` although something was sent. */
    isUnresponsive(): boolean;
    close(): void;
}

/** A request to a peer, with the core's parameters for the attempt. */
export interface StreamRequest {
    readonly attempt: number;
    readonly role: "redeem" | "run";
    readonly service: string;
    readonly remainingMs: number;
    readonly ticket: string | undefined;
    readonly bodyBytes: number;
    readonly request: OutgoingRequest;
}

export interface DialOptions {
    readonly timer: Timer;
    readonly address: string;
    readonly self: MemberInfo;
    readonly keys: MeshKeys;
    readonly onOpen: (session: DialledSession) => void;
    readonly onMessage: (from: MemberInfo, message: PeerMessage) => void;
    readonly onFailure: (failure: DialFailure, reason: string) => void;
    /** Called when a session that had opened has closed. */
    readonly onClose: (session: DialledSession) => void;
}

interface OutgoingStream {
    readonly listener: AttemptListener;
    hasHead: boolean;
    isPaused: boolean;
    readonly pendingFrames: Frame[];
}

export function dial(options: DialOptions): void {
    const socket = new WebSocket(`ws://${options.address}/mesh`, {
        handshakeTimeout: handshakeTimeoutMs,
        maxPayload: maxMeshFrameBytes,
        perMessageDeflate: false,
    });
    const nonce = createNonce();
    let session: DialledSession | undefined;
    let handleFrame: (frame: Frame) => void = () => {};
    let failure: { kind: DialFailure; reason: string; } = { kind: "failed", reason: "closed before the handshake was complete" };
    const cancelTimeout = options.timer.after(handshakeTimeoutMs * 2, () => {
        if (session === undefined) {
            socket.terminate();
        }
    });
    socket.on(
        "open",
        () => socket.send(encodeFrame({ kind: "hello", version: meshProtocolVersion, member: options.self, nonce })),
    );
    socket.on("error", error => {
        const code = (error as NodeJS.ErrnoException).code;
        failure = { kind: code === "ECONNREFUSED" ? "refused" : "failed", reason: error.message };
    });
    socket.on("message", bytes => {
        const frame = decodeFrame(bytes as Buffer);
        if (frame === undefined) {
            socket.terminate();
        }
        else if (session !== undefined) {
            handleFrame(frame);
        }
        else if (frame.kind === "welcome" && completeHandshake(socket, options, nonce, frame)) {
            const opened = openSession(socket, options, frame.member);
            session = opened.session;
            handleFrame = opened.handleFrame;
            options.onOpen(session);
        }
        else {
            const reason = frame.kind === "refused" ? frame.reason : "the peer doesn't hold the key or has another version";
            failure = { kind: "rejected", reason };
            socket.terminate();
        }
    });
    socket.on("close", () => {
        cancelTimeout();
        if (session === undefined) {
            options.onFailure(failure.kind, failure.reason);
        }
        else {
            options.onClose(session);
        }
    });
}

/** Verifies the acceptor's proof and version and sends the dialer's proof; returns false when they don't match. */
function completeHandshake(socket: WebSocket, options: DialOptions, nonce: string, welcome: WelcomeFrame): boolean {
    const { self, keys } = options;
    const key = findProofKey(keys, welcome.proof, "acceptor", nonce, welcome.nonce, welcome.member.instance);
    if (key === undefined || welcome.version !== meshProtocolVersion) {
        return false;
    }
    socket.send(encodeFrame({ kind: "proof", proof: createProof(key, "dialer", nonce, welcome.nonce, self.instance) }));
    return true;
}

interface OpenedSession {
    readonly session: DialledSession;
    readonly handleFrame: (frame: Frame) => void;
}

function openSession(socket: WebSocket, options: DialOptions, member: MemberInfo): OpenedSession {
    const { timer } = options;
    const sender: FrameSender = createFrameSender(socket);
    const streams = new Map<number, OutgoingStream>();
    let streamCount = 0;
    let receivedAt = timer.now();
    let sentAt = -Infinity;

    const end = (stream: number): void => {
        streams.delete(stream);
        sender.discardStream(stream);
    };
    const cancel = (stream: number): void => {
        if (streams.has(stream)) {
            sender.send({ kind: "cancel", stream });
            end(stream);
        }
    };
    const resume = (stream: number): void => {
        const outgoing = streams.get(stream);
        if (outgoing === undefined) {
            return;
        }
        outgoing.isPaused = false;
        while (!outgoing.isPaused && outgoing.pendingFrames.length > 0) {
            handleStreamFrame(outgoing, outgoing.pendingFrames.shift()!);
        }
    };
    const handleStreamFrame = (outgoing: OutgoingStream, frame: Frame): void => {
        if (outgoing.isPaused) {
            outgoing.pendingFrames.push(frame);
            return;
        }
        switch (frame.kind) {
            case "head":
                outgoing.hasHead = true;
                outgoing.listener.onHead({ status: frame.status, headers: frame.headers, code: frame.code });
                break;
            case "data":
                sender.send({ kind: "credit", stream: frame.stream, bytes: frame.bytes.length });
                outgoing.isPaused = !outgoing.listener.onData(frame.bytes);
                break;
            case "end":
                end(frame.stream);
                outgoing.listener.onEnd();
                break;
            case "refuse":
                end(frame.stream);
                outgoing.listener.onFailure({ kind: "refused", result: resultByCode(frame.code) ?? results.outcomeUnknown });
                break;
            case "fail":
                end(frame.stream);
                outgoing.listener.onFailure({ kind: "broken", reason: "the response was cut off at the peer" });
                break;
        }
    };
    const handleFrame = (frame: Frame): void => {
        receivedAt = timer.now();
        if (frame.kind === "message") {
            options.onMessage(member, frame.message);
        }
        else if (frame.kind === "credit") {
            sender.addCredit(frame.stream, frame.bytes);
        }
        else if ("stream" in frame) {
            const outgoing = streams.get(frame.stream);
            if (outgoing !== undefined) {
                handleStreamFrame(outgoing, frame);
            }
        }
    };
    socket.on("close", () => {
        for (const [stream, outgoing] of streams) {
            streams.delete(stream);
            outgoing.listener.onFailure({ kind: "broken", reason: "the mesh session to the peer closed" });
        }
    });
    const openStream = (streamRequest: StreamRequest, listener: AttemptListener): AttemptHandle => {
        const stream = ++streamCount;
        streams.set(stream, { listener, hasHead: false, isPaused: false, pendingFrames: [] });
        sender.send(toOpenFrame(stream, streamRequest));
        sendBody(sender, stream, streamRequest.request.body);
        sentAt = timer.now();
        return { cancel: () => cancel(stream), resume: () => resume(stream) };
    };
    const session: DialledSession = {
        member,
        sendMessage: message => {
            sentAt = timer.now();
            sender.send({ kind: "message", message });
        },
        openStream,
        isUnresponsive: () => sentAt > receivedAt && timer.now() - receivedAt > sessionReceiveTimeoutMs,
        close: () => socket.terminate(),
    };
    return { session, handleFrame };
}

function toOpenFrame(stream: number, streamRequest: StreamRequest): OpenFrame {
    const { request } = streamRequest;
    return {
        kind: "open",
        stream,
        attempt: streamRequest.attempt,
        role: streamRequest.role,
        service: streamRequest.service,
        method: request.method,
        path: request.path,
        headers: request.headers,
        remainingMs: streamRequest.remainingMs,
        ticket: streamRequest.ticket,
        body: request.body instanceof Uint8Array ? request.body : undefined,
        bodyBytes: streamRequest.bodyBytes,
    };
}

function sendBody(sender: FrameSender, stream: number, body: OutgoingRequest["body"]): void {
    if (body === undefined || body instanceof Uint8Array) {
        return;
    }
    body.on("data", (chunk: Buffer) => {
        if (!sender.sendData(stream, chunk)) {
            body.pause();
            sender.onDrain(stream, () => body.resume());
        }
    });
    body.on("end", () => sender.finishStream(stream, { kind: "end", stream }));
    body.on("error", () => sender.finishStream(stream, { kind: "fail", stream }));
}
