/** The dialling side of a session: proves the key, sends messages and opens streams. */
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import { resultByCode, results } from "@pimentospring/core/results/resultCode";
import type { Timer } from "@pimentospring/core/time/timer";
import { WebSocket } from "ws";
import { handshakeMs, meshFrameBytes, meshVersion, sessionSilenceMs } from "../constants.js";
import type { OutgoingRequest, Try, TryEvents } from "../exchange/exchange.js";
import { decodeFrame, encodeFrame, type Frame, type Open, type Welcome } from "./frames.js";
import { keyOfProof, type MeshKeys, newNonce, prove } from "./handshake.js";
import { createSender, type Sender } from "./sender.js";

export type DialFailure =
    /** Nothing listens at the address: the process there is gone. */
    | "refused"
    /** The other side has another key or version. */
    | "rejected"
    | "failed";

export interface DialledSession {
    readonly member: MemberInfo;
    message(message: PeerMessage): void;
    open(open: StreamWish, events: TryEvents): Try;
    /** Whether nothing came for a while although something was sent. */
    isSilent(): boolean;
    close(): void;
}

/** A request to a peer and what the core says of its try. */
export interface StreamWish {
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
    readonly opened: (session: DialledSession) => void;
    readonly received: (from: MemberInfo, message: PeerMessage) => void;
    readonly failed: (failure: DialFailure, reason: string) => void;
    /** The session had opened and ended. */
    readonly closed: (session: DialledSession) => void;
}

interface Stream {
    readonly events: TryEvents;
    hasHead: boolean;
    isPaused: boolean;
    readonly waiting: Frame[];
}

export function dial(options: DialOptions): void {
    const socket = new WebSocket(`ws://${options.address}/mesh`, {
        handshakeTimeout: handshakeMs,
        maxPayload: meshFrameBytes,
        perMessageDeflate: false,
    });
    const nonce = newNonce();
    let session: DialledSession | undefined;
    let take: (frame: Frame) => void = () => {};
    let failure: { kind: DialFailure; reason: string; } = { kind: "failed", reason: "closed before the handshake" };
    const cancelTimeout = options.timer.after(handshakeMs * 2, () => {
        if (session === undefined) {
            socket.terminate();
        }
    });
    socket.on("open", () => socket.send(encodeFrame({ kind: "hello", version: meshVersion, member: options.self, nonce })));
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
            take(frame);
        }
        else if (frame.kind === "welcome" && answerWelcome(socket, options, nonce, frame)) {
            const opened = openSession(socket, options, frame.member);
            session = opened.session;
            take = opened.take;
            options.opened(session);
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
            options.failed(failure.kind, failure.reason);
        }
        else {
            options.closed(session);
        }
    });
}

/** Checks the acceptor's proof and sends ours; false when it doesn't hold the key. */
function answerWelcome(socket: WebSocket, options: DialOptions, nonce: string, welcome: Welcome): boolean {
    const { self, keys } = options;
    const key = keyOfProof(keys, welcome.proof, "acceptor", nonce, welcome.nonce, welcome.member.instance);
    if (key === undefined || welcome.version !== meshVersion) {
        return false;
    }
    socket.send(encodeFrame({ kind: "proof", proof: prove(key, "dialer", nonce, welcome.nonce, self.instance) }));
    return true;
}

interface OpenedSession {
    readonly session: DialledSession;
    readonly take: (frame: Frame) => void;
}

function openSession(socket: WebSocket, options: DialOptions, member: MemberInfo): OpenedSession {
    const { timer } = options;
    const sender: Sender = createSender(socket);
    const streams = new Map<number, Stream>();
    let streamCount = 0;
    let receivedAt = timer.now();
    let sentAt = -Infinity;

    const end = (stream: number): void => {
        streams.delete(stream);
        sender.drop(stream);
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
        while (!found.isPaused && found.waiting.length > 0) {
            takeStream(found, found.waiting.shift()!);
        }
    };
    const takeStream = (found: Stream, frame: Frame): void => {
        if (found.isPaused) {
            found.waiting.push(frame);
            return;
        }
        switch (frame.kind) {
            case "head":
                found.hasHead = true;
                found.events.head({ status: frame.status, headers: frame.headers, code: frame.code });
                break;
            case "data":
                sender.send({ kind: "credit", stream: frame.stream, bytes: frame.bytes.length });
                found.isPaused = !found.events.data(frame.bytes);
                break;
            case "end":
                end(frame.stream);
                found.events.end();
                break;
            case "refuse":
                end(frame.stream);
                found.events.failed({ kind: "refused", result: resultByCode(frame.code) ?? results.outcomeUnknown });
                break;
            case "fail":
                end(frame.stream);
                found.events.failed({ kind: "broken", reason: "the peer's answer broke off" });
                break;
        }
    };
    const take = (frame: Frame): void => {
        receivedAt = timer.now();
        if (frame.kind === "message") {
            options.received(member, frame.message);
        }
        else if (frame.kind === "credit") {
            sender.credit(frame.stream, frame.bytes);
        }
        else if ("stream" in frame) {
            const found = streams.get(frame.stream);
            if (found !== undefined) {
                takeStream(found, frame);
            }
        }
    };
    socket.on("close", () => {
        for (const [stream, found] of streams) {
            streams.delete(stream);
            found.events.failed({ kind: "broken", reason: "the session to the peer ended" });
        }
    });
    const open = (wish: StreamWish, events: TryEvents): Try => {
        const stream = ++streamCount;
        streams.set(stream, { events, hasHead: false, isPaused: false, waiting: [] });
        sender.send(toOpen(stream, wish));
        sendBody(sender, stream, wish.request.body);
        sentAt = timer.now();
        return { cancel: () => cancel(stream), resume: () => resume(stream) };
    };
    const session: DialledSession = {
        member,
        message: message => {
            sentAt = timer.now();
            sender.send({ kind: "message", message });
        },
        open,
        isSilent: () => sentAt > receivedAt && timer.now() - receivedAt > sessionSilenceMs,
        close: () => socket.terminate(),
    };
    return { session, take };
}

function toOpen(stream: number, wish: StreamWish): Open {
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

function sendBody(sender: Sender, stream: number, body: OutgoingRequest["body"]): void {
    if (body === undefined || body instanceof Uint8Array) {
        return;
    }
    body.on("data", (chunk: Buffer) => {
        if (!sender.data(stream, chunk)) {
            body.pause();
            sender.whenDrained(stream, () => body.resume());
        }
    });
    body.on("end", () => sender.finish(stream, { kind: "end", stream }));
    body.on("error", () => sender.finish(stream, { kind: "fail", stream }));
}
