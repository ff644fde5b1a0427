/**
 * Stand-in for the platform: the key-value service with rate limits, outages, delays and lost answers, the delayed list
 * of instances, and a trace collector. Faults are set by `POST /control`.
 */
import { closeServer, createRouter, type Handler, listen, readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { ServerResponse } from "node:http";
import * as v from "valibot";
import { createGateway, rejectCall } from "./gateway.js";
import { createKeyValueStore } from "./keyValue.js";

const rowSchema = v.strictObject({ address: v.string(), dataCentre: v.string(), state: v.picklist(["live", "leaving"]) });

export type InstanceRecord = v.InferOutput<typeof rowSchema>;

const faultsSchema = v.strictObject({
    /** Calls of the key-value service fail. */
    outage: v.optional(v.boolean()),
    /** Calls of the list of instances fail. */
    listOutage: v.optional(v.boolean()),
    /** Delay of each call, in milliseconds. */
    delayMs: v.optional(v.number()),
    /** Number of write answers to drop; the writes take effect. */
    loseAnswers: v.optional(v.number()),
    /** Delay until a change shows in the list, in milliseconds. */
    listLagMs: v.optional(v.number()),
    instances: v.optional(v.array(rowSchema)),
});

export type PlatformFaults = v.InferOutput<typeof faultsSchema>;

/** Calls since the start, to compare with the rates that the platform allows. */
export interface PlatformCounts {
    reads: number;
    writes: number;
    watches: number;
    refused: number;
    /** Maximum number of calls in any one second. */
    mostPerSecond: number;
}

export interface Platform {
    readonly url: string;
    setFaults(faults: PlatformFaults): void;
    counts(): PlatformCounts;
    /** Spans collected from OTLP JSON exports. */
    spans(): readonly CollectedSpan[];
    close(): Promise<void>;
}

export interface CollectedSpan {
    readonly traceId: string;
    readonly spanId: string;
    readonly parentSpanId: string;
    readonly name: string;
    readonly service: string;
    readonly instance: string;
    readonly startMs: number;
    readonly endMs: number;
}

export interface PlatformOptions {
    readonly host: string;
    /** 0 for a free port. */
    readonly port: number;
    /** Rate limits of the key-value service. */
    readonly readsPerSecond?: number;
    readonly writesPerSecond?: number;
    readonly instances?: readonly InstanceRecord[];
}

const defaultReadsPerSecond = 2_000;
const defaultWritesPerSecond = 400;
const maxControlBytes = 1_000_000;
const maxSpanBodyBytes = 10_000_000;
const maxSpans = 20_000;

export async function createPlatform(options: PlatformOptions): Promise<Platform> {
    const keyValue = createKeyValueStore();
    const counts: PlatformCounts = { reads: 0, writes: 0, watches: 0, refused: 0, mostPerSecond: 0 };
    const faults: Required<PlatformFaults> = {
        outage: false,
        listOutage: false,
        delayMs: 0,
        loseAnswers: 0,
        listLagMs: 0,
        instances: [...options.instances ?? []],
    };
    let listedInstances: readonly InstanceRecord[] = faults.instances;
    let currentSecond = 0;
    let readsThisSecond = 0;
    let writesThisSecond = 0;
    const spans: CollectedSpan[] = [];

    const answer = (response: ServerResponse, value: unknown, isWrite: boolean): void => {
        if (isWrite && faults.loseAnswers > 0) {
            faults.loseAnswers--;
            response.destroy();
            return;
        }
        sendJson(response, 200, value);
    };
    const gateway = createGateway(keyValue, answer);
    /** Counts the call and returns whether it is within the rate limit. */
    const isWithinRate = (kind: "reads" | "writes" | "watches"): boolean => {
        const now = Math.floor(performance.now() / 1000);
        if (now !== currentSecond) {
            currentSecond = now;
            readsThisSecond = 0;
            writesThisSecond = 0;
        }
        counts[kind]++;
        const used = kind === "writes" ? ++writesThisSecond : ++readsThisSecond;
        counts.mostPerSecond = Math.max(counts.mostPerSecond, readsThisSecond + writesThisSecond);
        return used <=
            (kind === "writes"
                ? options.writesPerSecond ?? defaultWritesPerSecond
                : options.readsPerSecond ?? defaultReadsPerSecond);
    };
    const withFaults = (kind: "reads" | "writes" | "watches", handler: Handler): Handler => async (request, response, url) => {
        if (faults.outage) {
            request.socket.destroy();
            return;
        }
        if (!isWithinRate(kind)) {
            counts.refused++;
            sendJson(response, 429, { error: "too many requests", code: 8 });
            return;
        }
        if (faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        await Promise.resolve(handler(request, response, url)).catch((error: Error) => rejectCall(response, error));
    };
    const setFaults = (next: PlatformFaults): void => {
        Object.assign(faults, next);
        if (next.outage) {
            gateway.closeWatches();
        }
        if (next.instances !== undefined) {
            const instances = next.instances;
            setTimeout(() => {
                listedInstances = instances;
            }, faults.listLagMs).unref();
        }
    };
    const server = createRouter({
        "POST /v3/kv/range": withFaults("reads", gateway.range),
        "POST /v3/kv/txn": withFaults("writes", gateway.txn),
        "POST /v3/watch": withFaults("watches", gateway.watch),
        "POST /v3/lease/grant": withFaults("writes", gateway.leaseGrant),
        "POST /v3/lease/keepalive": withFaults("writes", gateway.leaseKeepAlive),
        "GET /instances": (request, response) => {
            if (faults.listOutage) {
                request.socket.destroy();
                return;
            }
            sendJson(response, 200, listedInstances);
        },
        "POST /v1/traces": async (request, response) => {
            const body = await readBody(request, maxSpanBodyBytes);
            collectSpans(spans, JSON.parse(body.toString()));
            sendJson(response, 200, {});
        },
        "GET /spans": (_request, response) => sendJson(response, 200, spans),
        "GET /counts": (_request, response) => sendJson(response, 200, counts),
        "POST /control": async (request, response) => {
            setFaults(v.parse(faultsSchema, JSON.parse((await readBody(request, maxControlBytes)).toString())));
            sendJson(response, 200, { ok: true });
        },
    }, () => {});
    const address = await listen(server, options.host, options.port);
    return {
        url: `http://${options.host}:${address.port}`,
        setFaults,
        counts: () => counts,
        spans: () => spans,
        close: () => closeServer(server),
    };
}

const attributeSchema = v.object({ key: v.string(), value: v.object({ stringValue: v.optional(v.string()) }) });
const spansSchema = v.object({
    resourceSpans: v.array(v.object({
        resource: v.object({ attributes: v.array(attributeSchema) }),
        scopeSpans: v.array(v.object({
            spans: v.array(v.object({
                traceId: v.string(),
                spanId: v.string(),
                parentSpanId: v.optional(v.string(), ""),
                name: v.string(),
                startTimeUnixNano: v.string(),
                endTimeUnixNano: v.string(),
            })),
        })),
    })),
});

const nanosPerMs = 1e6;

function collectSpans(spans: CollectedSpan[], raw: unknown): void {
    for (const { resource, scopeSpans } of v.parse(spansSchema, raw).resourceSpans) {
        const attribute = (key: string): string => resource.attributes.find(found => found.key === key)?.value.stringValue ?? "";
        for (const span of scopeSpans.flatMap(scope => scope.spans)) {
            spans.push({
                traceId: span.traceId,
                spanId: span.spanId,
                parentSpanId: span.parentSpanId,
                name: span.name,
                service: attribute("service.name"),
                instance: attribute("service.instance.id"),
                startMs: Number(span.startTimeUnixNano) / nanosPerMs,
                endMs: Number(span.endTimeUnixNano) / nanosPerMs,
            });
        }
    }
    spans.splice(0, spans.length - maxSpans);
}
