/**
 * Frames of the mesh: one `msgpackr` map a WebSocket message. A session starts with `hello`, `welcome` and `proof`;
 * then come core messages and streams. A stream carries one request one way and its answer the other.
 */
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import { Packr } from "msgpackr";
import type { Headers } from "../exchange/exchange.js";

export interface HelloFrame {
    readonly kind: "hello";
    readonly version: number;
    readonly member: MemberInfo;
    /** Random text that the other side must prove the key over. */
    readonly nonce: string;
}

export interface WelcomeFrame {
    readonly kind: "welcome";
    readonly version: number;
    readonly member: MemberInfo;
    readonly nonce: string;
    readonly proof: string;
}

export interface ProofFrame {
    readonly kind: "proof";
    readonly proof: string;
}

/** Says why a session is not taken; the socket is closed after it. */
export interface RefusedFrame {
    readonly kind: "refused";
    readonly reason: string;
}

export interface MessageFrame {
    readonly kind: "message";
    readonly message: PeerMessage;
}

/** Begins a stream: a request whose try has the number `attempt` at the sender. */
export interface OpenFrame {
    readonly kind: "open";
    readonly stream: number;
    readonly attempt: number;
    readonly role: "redeem" | "run";
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Headers;
    readonly remainingMs: number;
    readonly ticket: string | undefined;
    /** Whole body; undefined when it follows in `data` frames. */
    readonly body: Uint8Array | undefined;
    /** Length of a body that follows, where known. */
    readonly bodyBytes: number;
}

export interface HeadFrame {
    readonly kind: "head";
    readonly stream: number;
    readonly status: number;
    readonly headers: Headers;
    readonly code: number;
}

export interface DataFrame {
    readonly kind: "data";
    readonly stream: number;
    readonly bytes: Uint8Array;
}

export interface EndFrame {
    readonly kind: "end";
    readonly stream: number;
}

/** Answers a stream with a result code and no target's answer. */
export interface RefuseFrame {
    readonly kind: "refuse";
    readonly stream: number;
    readonly code: number;
}

/** The answer broke off after its head. */
export interface FailFrame {
    readonly kind: "fail";
    readonly stream: number;
}

/** The asking side wants no answer any more. */
export interface CancelFrame {
    readonly kind: "cancel";
    readonly stream: number;
}

/** Lets the other side send so many more bytes of data on the stream. */
export interface CreditFrame {
    readonly kind: "credit";
    readonly stream: number;
    readonly bytes: number;
}

export type Frame =
    | HelloFrame
    | WelcomeFrame
    | ProofFrame
    | RefusedFrame
    | MessageFrame
    | OpenFrame
    | HeadFrame
    | DataFrame
    | EndFrame
    | RefuseFrame
    | FailFrame
    | CancelFrame
    | CreditFrame;

const packr = new Packr({ useRecords: false, encodeUndefinedAsNil: true });

export const encodeFrame = (frame: Frame): Buffer => packr.pack(frame);

/** Decodes a frame; undefined when the bytes are not one. */
export function decodeFrame(bytes: Buffer): Frame | undefined {
    try {
        const frame: unknown = packr.unpack(bytes);
        const isFrame = typeof frame === "object" && frame !== null && typeof (frame as Frame).kind === "string";
        return isFrame ? frame as Frame : undefined;
    }
    catch {
        return undefined;
    }
}
