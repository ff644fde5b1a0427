/**
 * Identifies requests that ask for the same work, whoever sends them: the address that a request comes from may change from
 * one copy to the next.
 */
import { hashBytes, hashParts, hashText } from "@pimentospring/core/hash/hash";
import type { Fingerprint } from "@pimentospring/core/ids";
import type { CallerRequest } from "./callerServer.js";

export interface RequestFingerprint {
    /** Hash of all parts. Computed when it is first asked for, as it reads the whole body. */
    readonly value: () => Fingerprint;
    /** A short hash of each part, and of the caller's address, for logs: shows what two requests differ in without telling what they contain. */
    readonly describe: () => string;
}

export function createRequestFingerprint(caller: CallerRequest, objectId: string | undefined): RequestFingerprint {
    const parts = {
        method: caller.method,
        host: caller.host,
        path: caller.path,
        object: objectId ?? "",
    };
    let value: Fingerprint | undefined;
    const compute = (): Fingerprint => hashParts([Buffer.from(Object.values(parts).join("\n")), caller.body]) as Fingerprint;
    return {
        value: () => value ??= compute(),
        describe: () =>
            Object.entries({ caller: caller.callerAddress, ...parts, body: hashBytes(caller.body) })
                .map(([name, text]) => `${name}:${hashText(text).toString(16)}`)
                .join(" "),
    };
}
