/** Messages between entries that pass on the store's state: `msgpackr` maps, checked before anything of them is used. */
import { type InstanceId, toInstanceId } from "@pimentospring/core/ids";
import { Packr } from "msgpackr";
import * as v from "valibot";
import type { ItemsUpdate } from "./replicatedItems.js";

/** Request for a peer's update after a revision. */
export interface StateRequest {
    readonly id: InstanceId;
    /** The requester's record, encoded as in the store. */
    readonly record: Buffer;
    readonly after: number;
}

/** Update of a replica, sent from one entry to another. */
export type StoreUpdate = ItemsUpdate & {
    /** Time since the store's last failure that the sender saw or was told of, in milliseconds, if it matters still. */
    readonly failureAgeMs: number | undefined;
};

const packr = new Packr({ useRecords: false });

const revisionSchema = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const bytesSchema = v.pipe(v.instance(Uint8Array), v.transform(bytes => Buffer.from(bytes)));
const requestSchema = v.object({ id: v.pipe(v.string(), v.transform(toInstanceId)), record: bytesSchema, after: revisionSchema });
const itemSchema = v.object({ key: v.string(), value: bytesSchema, revision: revisionSchema });
const eventSchema = v.variant("kind", [
    v.object({ kind: v.literal("written"), item: itemSchema }),
    v.object({ kind: v.literal("removed"), key: v.string(), revision: revisionSchema }),
]);
const ageSchema = v.optional(v.pipe(v.number(), v.finite(), v.minValue(0)));
const updateSchema = v.variant("kind", [
    v.object({ kind: v.literal("state"), failureAgeMs: ageSchema, revision: revisionSchema, items: v.array(itemSchema) }),
    v.object({ kind: v.literal("changes"), failureAgeMs: ageSchema, revision: revisionSchema, events: v.array(eventSchema) }),
]);

export const encodeStateRequest = (request: StateRequest): Buffer => packr.pack(request);

/** Entries of version 0.1 require `isUnsettled`; others ignore it. */
export const encodeStoreUpdate = ({ failureAgeMs, ...update }: StoreUpdate): Buffer =>
    packr.pack({ ...update, isUnsettled: failureAgeMs !== undefined, ...(failureAgeMs === undefined ? {} : { failureAgeMs }) });

/** Returns `undefined` if the bytes are no valid request. */
export const decodeStateRequest = (bytes: Buffer): StateRequest | undefined => decode(requestSchema, bytes);

/** Returns `undefined` if the bytes are no valid update; a partly malformed one is not used at all. */
export const decodeStoreUpdate = (bytes: Buffer): StoreUpdate | undefined => {
    const update = decode(updateSchema, bytes);
    return update === undefined ? undefined : { ...update, failureAgeMs: update.failureAgeMs };
};

function decode<Value>(schema: v.GenericSchema<unknown, Value>, bytes: Buffer): Value | undefined {
    let raw: unknown;
    try {
        raw = packr.unpack(bytes);
    }
    catch {
        return undefined;
    }
    const parsed = v.safeParse(schema, raw);
    return parsed.success ? parsed.output : undefined;
}
