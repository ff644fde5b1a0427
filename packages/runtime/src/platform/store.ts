/**
 * Client of the platform's key-value store over the JSON gateway of the etcd v3 API
 * (`/v3/kv/range`, `/v3/kv/txn`, `/v3/watch`): keys and values are base64, 64-bit numbers are decimal strings.
 */
import { err, ok, type Result } from "true-myth/result";
import { type Dispatcher, Pool } from "undici";

/** A value with its modification revision in the store, which a compare-and-swap names. */
export interface StoredValue {
    readonly text: string;
    readonly modRevision: number;
}

/** The store gave no usable response; a write may still have taken effect. */
export interface StoreFailure {
    readonly reason: string;
}

export interface StorePut {
    readonly key: string;
    readonly text: string;
}

export interface CompareAndSwap {
    /** Key that must still have `modRevision`; 0 means that it must not exist. */
    readonly key: string;
    readonly modRevision: number;
    readonly puts: readonly StorePut[];
    readonly deletes: readonly string[];
}

export interface Store {
    get(key: string): Promise<Result<StoredValue | undefined, StoreFailure>>;
    list(prefix: string): Promise<Result<StoredValue[], StoreFailure>>;
    /** Applies all writes or none; the value says whether the comparison succeeded. */
    compareAndSwap(swap: CompareAndSwap): Promise<Result<boolean, StoreFailure>>;
    /** Calls `onChange` with each new value until the watch ends, then `onEnd`; returns a function that ends the watch. */
    watch(key: string, onChange: (value: StoredValue) => void, onEnd: (reason: string) => void): () => void;
    close(): Promise<void>;
}

interface KeyValue {
    readonly key: string;
    readonly value?: string;
    readonly mod_revision: string;
}

const encodeBase64 = (text: string): string => Buffer.from(text).toString("base64");
const decodeBase64 = (text: string): string => Buffer.from(text, "base64").toString();
const toStoredValue = (pair: KeyValue): StoredValue => ({
    text: decodeBase64(pair.value ?? ""),
    modRevision: Number(pair.mod_revision),
});

/** First key after all keys with the prefix. */
const prefixEnd = (prefix: string): string => prefix.slice(0, -1) + String.fromCharCode(prefix.charCodeAt(prefix.length - 1) + 1);

/** Creates a client; `timeoutMs` limits every call, but not how long an open watch waits for a change. */
export function createStore(url: string, timeoutMs: number): Store {
    const pool = new Pool(url, { connections: 4, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, connectTimeout: timeoutMs });

    const callStore = async <Answer>(path: string, body: unknown): Promise<Result<Answer, StoreFailure>> => {
        try {
            const answer = await pool.request({
                method: "POST",
                path,
                body: JSON.stringify(body),
                headers: { "content-type": "application/json" },
                signal: AbortSignal.timeout(timeoutMs),
            });
            const text = await answer.body.text();
            return answer.statusCode === 200
                ? ok(JSON.parse(text) as Answer)
                : err({ reason: `status ${answer.statusCode}` });
        }
        catch (error) {
            return err({ reason: (error as Error).message });
        }
    };
    const range = async (body: unknown): Promise<Result<StoredValue[], StoreFailure>> => {
        const answer = await callStore<{ readonly kvs?: readonly KeyValue[]; }>("/v3/kv/range", body);
        return answer.map(found => (found.kvs ?? []).map(toStoredValue));
    };
    return {
        get: async key => (await range({ key: encodeBase64(key) })).map(values => values[0]),
        list: prefix => range({ key: encodeBase64(prefix), range_end: encodeBase64(prefixEnd(prefix)) }),
        compareAndSwap: async swap => {
            const answer = await callStore<{ readonly succeeded?: boolean; }>("/v3/kv/txn", {
                compare: [{
                    target: "MOD",
                    result: "EQUAL",
                    key: encodeBase64(swap.key),
                    mod_revision: String(swap.modRevision),
                }],
                success: [
                    ...swap.puts.map(put => ({ request_put: { key: encodeBase64(put.key), value: encodeBase64(put.text) } })),
                    ...swap.deletes.map(key => ({ request_delete_range: { key: encodeBase64(key) } })),
                ],
            });
            return answer.map(found => found.succeeded === true);
        },
        watch: (key, onChange, onEnd) => watchKey(url, key, timeoutMs, onChange, onEnd),
        close: () => pool.destroy(),
    };
}

interface WatchResponse {
    readonly result?: { readonly events?: readonly { readonly type?: string; readonly kv: KeyValue; }[]; };
}

function watchKey(
    url: string,
    key: string,
    timeoutMs: number,
    onChange: (value: StoredValue) => void,
    onEnd: (reason: string) => void,
): () => void {
    const pool = new Pool(url, { connections: 1, headersTimeout: timeoutMs, bodyTimeout: 0, connectTimeout: timeoutMs });
    const abort = new AbortController();
    const read = async (): Promise<void> => {
        const answer: Dispatcher.ResponseData = await pool.request({
            method: "POST",
            path: "/v3/watch",
            body: JSON.stringify({ create_request: { key: encodeBase64(key) } }),
            signal: abort.signal,
        });
        let incompleteLine = "";
        for await (const chunk of answer.body) {
            incompleteLine += String(chunk);
            const lines = incompleteLine.split("\n");
            incompleteLine = lines.pop()!;
            lines.filter(line => line !== "").forEach(line => handleWatchResponse(JSON.parse(line) as WatchResponse, onChange));
        }
    };
    read().then(() => onEnd("the store closed the watch"), (error: Error) => onEnd(error.message))
        .finally(() => void pool.destroy().catch(() => {}));
    return () => abort.abort();
}

function handleWatchResponse(response: WatchResponse, onChange: (value: StoredValue) => void): void {
    for (const event of response.result?.events ?? []) {
        if (event.type !== "DELETE") {
            onChange(toStoredValue(event.kv));
        }
    }
}
