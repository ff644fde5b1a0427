/** Proves on both sides of a session that the other holds the shared key, without sending the key. */
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";

/** Keys that count: the current one, and an earlier one while keys are replaced. */
export interface MeshKeys {
    readonly current: string;
    readonly previous: string | undefined;
}

export const createNonce = (): string => randomBytes(16).toString("base64url");

/** Proof by the side `role`, over both nonces and its own name. */
export function createProof(
    key: string,
    role: "dialer" | "acceptor",
    dialerNonce: string,
    acceptorNonce: string,
    instance: string,
): string {
    return createHmac("sha256", key).update(`${role}\n${dialerNonce}\n${acceptorNonce}\n${instance}`).digest("base64url");
}

/** Returns the key that the proof was made with, or undefined. */
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
