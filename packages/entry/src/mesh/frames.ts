/**
 * Frames of the mesh protocol: one `msgpackr` map per WebSocket message. A session starts with `hello`, `welcome` and
 * `proof`, followed by core messages and streams. A stream carries one request in one direction and its response in the
 * other.
 */
import type { MemberInfo, PeerMessage } from "@pimentospring/core/membership/messages";
import { Packr } from "msgpackr";
import type { Headers } from "../exchange/exchange.js";

export interface HelloFrame {
    readonly kind: "hello";
    readonly version: number;
    readonly member: MemberInfo;
    /** Random challenge that the other side must include in its proof. */
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

/** Gives the reason why a session is refused; the socket is closed after it. */
export interface RefusedFrame {
    readonly kind: "refused";
    readonly reason: string;
}

export interface MessageFrame {
    readonly kind: "message";
    readonly message: PeerMessage;
}

/** Opens a stream with a request; `attempt` identifies the attempt at the sender. */
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
    /** Buffered body; undefined when there is none or it follows in `data` frames. */
    readonly body: Uint8Array | undefined;
    /** Length of the body: 0 when there is none, -1 when it is not known. */
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

/** Ends a stream with a result code when there is no response of a target. */
export interface RefuseFrame {
    readonly kind: "refuse";
    readonly stream: number;
    readonly code: number;
}

/** The body of the request or response was cut off. */
export interface FailFrame {
    readonly kind: "fail";
    readonly stream: number;
}

/** The sender of the request no longer wants a response. */
export interface CancelFrame {
    readonly kind: "cancel";
    readonly stream: number;
}

/** Flow control: allows the other side to send this many more bytes of data on the stream. */
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

/** Decodes a frame; undefined when the bytes are not a valid frame. */
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
