/** Mutual authentication of a mesh session: each side proves that it holds the shared key, without sending the key. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Accepted keys: the current one and, during key rotation, the previous one. */
export interface MeshKeys {
    readonly current: string;
    readonly previous: string | undefined;
}

export const createNonce = (): string => randomBytes(16).toString("base64url");

/** HMAC made by the side `role` over both nonces and its own instance id. */
export function createProof(
    key: string,
    role: "dialer" | "acceptor",
    dialerNonce: string,
    acceptorNonce: string,
    instance: string,
): string {
    return createHmac("sha256", key).update(`${role}\n${dialerNonce}\n${acceptorNonce}\n${instance}`).digest("base64url");
}

/** Returns the accepted key that the proof was made with, or undefined. */
export function findProofKey(
    keys: MeshKeys,
    proof: string,
    role: "dialer" | "acceptor",
    dialerNonce: string,
    acceptorNonce: string,
    instance: string,
): string | undefined {
    const candidates = keys.previous === undefined ? [keys.current] : [keys.current, keys.previous];
    return candidates.find(key => isEqualConstantTime(createProof(key, role, dialerNonce, acceptorNonce, instance), proof));
}

function isEqualConstantTime(expected: string, given: string): boolean {
    const left = Buffer.from(expected);
    const right = Buffer.from(given);
    return left.length === right.length && timingSafeEqual(left, right);
}
