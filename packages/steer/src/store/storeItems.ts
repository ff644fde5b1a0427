/** Decoding of store items. The platform's adapter decodes the platform's keys; member records are decoded here. */
import {
    type DataCentreId,
    type InstanceId,
    type TargetId,
    toDataCentreId,
    toInstanceId,
    toRegionId,
} from "@pimentospring/core/ids";
import type { MemberRecord } from "@pimentospring/core/steering/members";
import type { SteeringDocument } from "@pimentospring/core/steering/steeringDocument";
import type { TargetRecord } from "@pimentospring/core/steering/targetRecord";
import { splitAddress } from "@pimentospring/runtime/http/jsonServer";
import * as v from "valibot";

/** Kind of item that a key refers to. */
export type StoreKey =
    | { readonly kind: "document"; }
    | { readonly kind: "target"; readonly id: TargetId; }
    | { readonly kind: "evacuation"; readonly dataCentre: DataCentreId; }
    | { readonly kind: "member"; readonly id: InstanceId; }
    | { readonly kind: "other"; };

/** Decoded value, or the reason why decoding failed. */
export type DecodeResult<Value> = { readonly isValid: true; readonly value: Value; } | {
    readonly isValid: false;
    readonly reason: string;
};

/** Decodes a platform's keys and values. */
export interface StoreItemDecoder {
    parseKey(key: string): StoreKey;
    decodeDocument(value: Buffer): DecodeResult<SteeringDocument>;
    decodeTarget(id: TargetId, value: Buffer): DecodeResult<TargetRecord>;
    /** The value as it is kept and passed on to peers: secrets in it are replaced by what is enough to recognise them. */
    redact(key: string, value: Buffer): Buffer;
}

/** Prefix of the keys of members' records. */
export const memberPrefix = "pimentospring/entries/";

const maxPort = 65_535;
/** `host:port`. An address that can't be used would make each send to the member fail. */
const addressSchema = v.pipe(
    v.string(),
    v.regex(/^[^:\s]+:\d{1,5}$/),
    v.check(address => {
        const { port } = splitAddress(address);
        return port >= 1 && port <= maxPort;
    }, "the port is out of range"),
);

const memberSchema = v.object({
    callers: addressSchema,
    mesh: addressSchema,
    control: addressSchema,
    dataCentre: v.string(),
    region: v.string(),
});

export const memberKey = (id: InstanceId): string => memberPrefix + id;

export function encodeMember(record: MemberRecord): Buffer {
    const { callers, mesh, control, dataCentre, region } = record;
    return Buffer.from(JSON.stringify({ callers, mesh, control, dataCentre, region }));
}

export function decodeMember(id: InstanceId, value: Buffer): DecodeResult<MemberRecord> {
    let raw: unknown;
    try {
        raw = JSON.parse(value.toString());
    }
    catch (error) {
        return { isValid: false, reason: (error as Error).message };
    }
    const parsed = v.safeParse(memberSchema, raw);
    if (!parsed.success) {
        return { isValid: false, reason: parsed.issues[0].message };
    }
    const { dataCentre, region, ...addresses } = parsed.output;
    return { isValid: true, value: { id, ...addresses, dataCentre: toDataCentreId(dataCentre), region: toRegionId(region) } };
}

/** Parses a key: members' keys here, all others with the platform's decoder. */
export function parseStoreKey(key: string, decoder: StoreItemDecoder): StoreKey {
    return key.startsWith(memberPrefix)
        ? { kind: "member", id: toInstanceId(key.slice(memberPrefix.length)) }
        : decoder.parseKey(key);
}
