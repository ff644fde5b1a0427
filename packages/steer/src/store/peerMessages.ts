/** Messages between entries that pass on the store's state: `msgpackr` maps, checked before anything of them is used. */
import { type InstanceId, toInstanceId } from "@pimentospring/core/ids";
import { Packr } from "msgpackr";
import * as v from "valibot";
import type { ItemsUpdate } from "./replicatedItems.js";
import type { StoreEvent, StoreItem } from "./store.js";
import { eraOf, isEra, isRevisionInEra, revisionInEraOf, toStoreRevision } from "./storeRevision.js";

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

const revisionSchema = v.custom<number>(isRevisionInEra);
/** Era of all revisions in a message; absent in era 0, which older versions require. */
const eraSchema = v.optional(v.custom<number>(isEra), 0);
const bytesSchema = v.pipe(v.instance(Uint8Array), v.transform(bytes => Buffer.from(bytes)));
const requestSchema = v.object({
    id: v.pipe(v.string(), v.transform(toInstanceId)),
    record: bytesSchema,
    after: revisionSchema,
    era: eraSchema,
});
const itemSchema = v.object({ key: v.string(), value: bytesSchema, revision: revisionSchema });
const eventSchema = v.variant("kind", [
    v.object({ kind: v.literal("written"), item: itemSchema }),
    v.object({ kind: v.literal("removed"), key: v.string(), revision: revisionSchema }),
]);
const ageSchema = v.optional(v.pipe(v.number(), v.finite(), v.minValue(0)));
const updateSchema = v.variant("kind", [
    v.object({
        kind: v.literal("state"),
        failureAgeMs: ageSchema,
        era: eraSchema,
        revision: revisionSchema,
        items: v.array(itemSchema),
    }),
    v.object({
        kind: v.literal("changes"),
        failureAgeMs: ageSchema,
        era: eraSchema,
        revision: revisionSchema,
        events: v.array(eventSchema),
    }),
]);

const eraFields = (revision: number): { readonly era?: number; } => eraOf(revision) === 0 ? {} : { era: eraOf(revision) };

export const encodeStateRequest = (request: StateRequest): Buffer =>
    packr.pack({ ...request, after: revisionInEraOf(request.after), ...eraFields(request.after) });

/** Entries of version 0.1 require `isUnsettled`; others ignore it. */
export const encodeStoreUpdate = ({ failureAgeMs, ...update }: StoreUpdate): Buffer =>
    packr.pack({
        ...mapRevisions(update, revisionInEraOf),
        ...eraFields(update.revision),
        isUnsettled: failureAgeMs !== undefined,
        ...(failureAgeMs === undefined ? {} : { failureAgeMs }),
    });

/** Returns `undefined` if the bytes are no valid request. */
export const decodeStateRequest = (bytes: Buffer): StateRequest | undefined => {
    const request = decode(requestSchema, bytes);
    return request === undefined
        ? undefined
        : { id: request.id, record: request.record, after: toStoreRevision(request.era, request.after) };
};

/** Returns `undefined` if the bytes are no valid update; a partly malformed one is not used at all. */
export const decodeStoreUpdate = (bytes: Buffer): StoreUpdate | undefined => {
    const decoded = decode(updateSchema, bytes);
    if (decoded === undefined) {
        return undefined;
    }
    const { era, failureAgeMs, ...update } = decoded;
    return { ...mapRevisions(update, revision => toStoreRevision(era, revision)), failureAgeMs };
};

/** Converts all revisions of an update, which are of one era: a replica takes over a new era as a whole. */
function mapRevisions(update: ItemsUpdate, convert: (revision: number) => number): ItemsUpdate {
    const convertItem = (item: StoreItem): StoreItem => ({ ...item, revision: convert(item.revision) });
    const convertEvent = (event: StoreEvent): StoreEvent =>
        event.kind === "written"
            ? { kind: "written", item: convertItem(event.item) }
            : { ...event, revision: convert(event.revision) };
    return update.kind === "state"
        ? { kind: "state", revision: convert(update.revision), items: update.items.map(convertItem) }
        : { kind: "changes", revision: convert(update.revision), events: update.events.map(convertEvent) };
}

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
