/** The dialling side of a session: proves the key, sends messages and opens streams. */
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
    /** Nothing listens at the address: the process there is gone. */
    | "refused"
    /** The other side has another key or version. */
    | "rejected"
    | "failed";

export interface DialledSession {
    readonly member: MemberInfo;
    sendMessage(message: PeerMessage): void;
    openStream(open: StreamRequest, events: AttemptListener): AttemptHandle;
    /** Whether nothing came for a while although something was sent. */
    isUnresponsive(): boolean;
    close(): void;
}

/** A request to a peer and what the core says of its try. */
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
    /** The session had opened and ended. */
    readonly onClose: (session: DialledSession) => void;
}

interface OutgoingStream {
    readonly events: AttemptListener;
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
    let failure: { kind: DialFailure; reason: string; } = { kind: "failed", reason: "closed before the handshake" };
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
            const reason = frame.kind === "refused" ? frame.reason : "the other side doesn't hold the key";
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

/** Checks the acceptor's proof and sends ours; false when it doesn't hold the key. */
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
        const found = streams.get(stream);
        if (found === undefined) {
            return;
        }
        found.isPaused = false;
        while (!found.isPaused && found.pendingFrames.length > 0) {
            handleStreamFrame(found, found.pendingFrames.shift()!);
        }
    };
    const handleStreamFrame = (found: OutgoingStream, frame: Frame): void => {
        if (found.isPaused) {
            found.pendingFrames.push(frame);
            return;
        }
        switch (frame.kind) {
            case "head":
                found.hasHead = true;
                found.events.onHead({ status: frame.status, headers: frame.headers, code: frame.code });
                break;
            case "data":
                sender.send({ kind: "credit", stream: frame.stream, bytes: frame.bytes.length });
                found.isPaused = !found.events.onData(frame.bytes);
                break;
            case "end":
                end(frame.stream);
                found.events.onEnd();
                break;
            case "refuse":
                end(frame.stream);
                found.events.onFailure({ kind: "refused", result: resultByCode(frame.code) ?? results.outcomeUnknown });
                break;
            case "fail":
                end(frame.stream);
                found.events.onFailure({ kind: "broken", reason: "the peer's answer broke off" });
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
            const found = streams.get(frame.stream);
            if (found !== undefined) {
                handleStreamFrame(found, frame);
            }
        }
    };
    socket.on("close", () => {
        for (const [stream, found] of streams) {
            streams.delete(stream);
            found.events.onFailure({ kind: "broken", reason: "the session to the peer ended" });
        }
    });
    const openStream = (wish: StreamRequest, events: AttemptListener): AttemptHandle => {
        const stream = ++streamCount;
        streams.set(stream, { events, hasHead: false, isPaused: false, pendingFrames: [] });
        sender.send(toOpenFrame(stream, wish));
        sendBody(sender, stream, wish.request.body);
        sentAt = timer.now();
        return { cancel: () => cancel(stream), resume: () => resume(stream) };
    };
    const session: DialledSession = {
        member,
        sendMessage: message => {
            sentAt = timer.now();
            sender.send({ kind: "message", message });
        },
        openStream: openStream,
        isUnresponsive: () => sentAt > receivedAt && timer.now() - receivedAt > sessionReceiveTimeoutMs,
        close: () => socket.terminate(),
    };
    return { session, handleFrame: handleFrame };
}

function toOpenFrame(stream: number, wish: StreamRequest): OpenFrame {
    const { request } = wish;
    return {
        kind: "open",
        stream,
        attempt: wish.attempt,
        role: wish.role,
        service: wish.service,
        method: request.method,
        path: request.path,
        headers: request.headers,
        remainingMs: wish.remainingMs,
        ticket: wish.ticket,
        body: request.body instanceof Uint8Array ? request.body : undefined,
        bodyBytes: wish.bodyBytes,
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
