/** etcd v3 JSON gateway to the stand-in's key-value store: range, txn, put, watch and leases. */
import { readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as v from "valibot";
import type { KeyValueChange, KeyValuePair, KeyValueStore, Write } from "./keyValue.js";

const base64Schema = v.string();
const rangeSchema = v.object({ key: base64Schema, range_end: v.optional(base64Schema) });
const putSchema = v.object({
    key: base64Schema,
    value: v.optional(base64Schema, ""),
    lease: v.optional(v.union([v.string(), v.number()]), 0),
});
const operationSchema = v.object({
    request_put: v.optional(putSchema),
    request_delete_range: v.optional(rangeSchema),
    request_range: v.optional(rangeSchema),
});
const compareSchema = v.object({
    target: v.picklist(["MOD", "CREATE", "VERSION"]),
    result: v.optional(v.picklist(["EQUAL", "GREATER", "LESS", "NOT_EQUAL"]), "EQUAL"),
    key: base64Schema,
    mod_revision: v.optional(v.string()),
    create_revision: v.optional(v.string()),
    version: v.optional(v.string()),
});
const txnSchema = v.object({
    compare: v.optional(v.array(compareSchema), []),
    success: v.optional(v.array(operationSchema), []),
    failure: v.optional(v.array(operationSchema), []),
});
const watchSchema = v.object({ create_request: rangeSchema });
const leaseSchema = v.object({
    TTL: v.optional(v.union([v.string(), v.number()])),
    ID: v.optional(v.union([v.string(), v.number()])),
});

type Operation = v.InferOutput<typeof operationSchema>;
type Compare = v.InferOutput<typeof compareSchema>;

/** Limit of a request body: a value of 1 MB in base64 and the rest of the request. */
const maxBodyBytes = 2_000_000;
/** Limit of a value. */
const maxValueBytes = 1_048_576;

const decode = (text: string): string => Buffer.from(text, "base64").toString("latin1");
const encode = (text: string): string => Buffer.from(text, "latin1").toString("base64");
const decodeEnd = (text: string | undefined): string | undefined => text === undefined || text === "" ? undefined : decode(text);

export interface Gateway {
    range(request: IncomingMessage, response: ServerResponse): Promise<void>;
    txn(request: IncomingMessage, response: ServerResponse): Promise<void>;
    watch(request: IncomingMessage, response: ServerResponse): Promise<void>;
    leaseGrant(request: IncomingMessage, response: ServerResponse): Promise<void>;
    leaseKeepAlive(request: IncomingMessage, response: ServerResponse): Promise<void>;
    /** Closes all open watches. */
    closeWatches(): void;
}

interface Lease {
    readonly ttlSeconds: number;
    timeout: NodeJS.Timeout;
}

/** `answer` sends the answer of a call; it may drop the connection instead, to simulate a lost answer. */
export function createGateway(
    store: KeyValueStore,
    answer: (response: ServerResponse, value: unknown, isWrite: boolean) => void,
): Gateway {
    const watchers = new Set<ServerResponse>();
    const leases = new Map<number, Lease>();
    let leaseCount = 0;

    const header = () => ({ revision: String(store.revision()) });
    const parse = async <Schema extends v.GenericSchema>(
        request: IncomingMessage,
        schema: Schema,
    ): Promise<v.InferOutput<Schema>> => v.parse(schema, JSON.parse((await readBody(request, maxBodyBytes)).toString()));
    const runRange = (range: v.InferOutput<typeof rangeSchema>) => {
        const pairs = store.range(decode(range.key), decodeEnd(range.range_end));
        return { header: header(), kvs: pairs.map(toJson), count: String(pairs.length) };
    };
    const toWrite = (operation: Operation): Write[] => {
        if (operation.request_put !== undefined) {
            const { key, value, lease } = operation.request_put;
            const text = decode(value);
            if (text.length > maxValueBytes) {
                throw new Error(`value exceeds the limit of ${maxValueBytes} bytes`);
            }
            return [{ kind: "put", key: decode(key), value: text, lease: Number(lease) }];
        }
        const range = operation.request_delete_range;
        return range === undefined ? [] : [{ kind: "delete", key: decode(range.key), end: decodeEnd(range.range_end) }];
    };
    const isSatisfied = (compare: Compare): boolean => {
        const pair = store.range(decode(compare.key), undefined)[0];
        const [actual, wanted] = compare.target === "MOD"
            ? [pair?.modRevision, compare.mod_revision]
            : compare.target === "CREATE"
            ? [pair?.createRevision, compare.create_revision]
            : [pair?.version, compare.version];
        const difference = (actual ?? 0) - Number(wanted ?? 0);
        const checks = { EQUAL: difference === 0, GREATER: difference > 0, LESS: difference < 0, NOT_EQUAL: difference !== 0 };
        return checks[compare.result];
    };
    const armLease = (id: number, ttlSeconds: number): void => {
        clearTimeout(leases.get(id)?.timeout);
        const timeout = setTimeout(() => {
            leases.delete(id);
            store.deleteLease(id);
        }, ttlSeconds * 1000);
        timeout.unref();
        leases.set(id, { ttlSeconds, timeout });
    };
    return {
        range: async (request, response) => answer(response, runRange(await parse(request, rangeSchema)), false),
        txn: async (request, response) => {
            const txn = await parse(request, txnSchema);
            const succeeded = txn.compare.every(isSatisfied);
            const operations = succeeded ? txn.success : txn.failure;
            store.commit(operations.flatMap(toWrite));
            const responses = operations.map(operation =>
                operation.request_range === undefined ? {} : { response_range: runRange(operation.request_range) }
            );
            answer(response, { header: header(), succeeded, responses }, true);
        },
        watch: async (request, response) => {
            const { create_request: range } = await parse(request, watchSchema);
            response.writeHead(200, { "content-type": "application/json" });
            const write = (value: unknown): void => void response.write(`${JSON.stringify({ result: value })}\n`);
            write({ header: header(), created: true });
            watchers.add(response);
            const cancel = store.watch(decode(range.key), decodeEnd(range.range_end), changes => {
                write({ header: header(), events: changes.map(toEvent) });
            });
            response.on("close", () => {
                cancel();
                watchers.delete(response);
            });
        },
        leaseGrant: async (request, response) => {
            const { TTL: ttl, ID: id } = await parse(request, leaseSchema);
            const lease = Number(id ?? 0) || ++leaseCount;
            armLease(lease, Number(ttl ?? 5));
            answer(response, { header: header(), ID: String(lease), TTL: String(ttl ?? 5) }, true);
        },
        leaseKeepAlive: async (request, response) => {
            const id = Number((await parse(request, leaseSchema)).ID ?? 0);
            const lease = leases.get(id);
            if (lease !== undefined) {
                armLease(id, lease.ttlSeconds);
            }
            answer(response, { result: { header: header(), ID: String(id), TTL: String(lease?.ttlSeconds ?? 0) } }, true);
        },
        closeWatches: () => watchers.forEach(response => response.destroy()),
    };
}

const toJson = (pair: KeyValuePair) => ({
    key: encode(pair.key),
    value: encode(pair.value),
    create_revision: String(pair.createRevision),
    mod_revision: String(pair.modRevision),
    version: String(pair.version),
});

const toEvent = (change: KeyValueChange) => ({ type: change.type, kv: toJson(change.pair) });

/** Rejects a malformed call as etcd's gateway does: status 400 and gRPC code 3 (INVALID_ARGUMENT). */
export function rejectCall(response: ServerResponse, error: Error): void {
    sendJson(response, 400, { error: error.message, code: 3 });
}
