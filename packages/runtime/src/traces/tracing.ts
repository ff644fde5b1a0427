/** Tracing with OpenTelemetry: one span per hop, exported over OTLP/HTTP. Without an endpoint, nothing is recorded. */
import { type Context, ROOT_CONTEXT, type Span, SpanKind, trace, type Tracer } from "@opentelemetry/api";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { Resource } from "@opentelemetry/resources";
import {
    BasicTracerProvider,
    BatchSpanProcessor,
    ParentBasedSampler,
    TraceIdRatioBasedSampler,
} from "@opentelemetry/sdk-trace-base";
import { randomFillSync } from "node:crypto";

/** W3C trace context of one hop. */
export interface TraceContext {
    readonly traceId: string;
    /** Value of the `traceparent` header for the next hop. */
    readonly traceparent: string;
}

/** An open span. */
export interface HopSpan {
    readonly context: TraceContext;
    setAttribute(key: string, value: string | number): void;
    end(): void;
}

export interface Tracing {
    /** Starts a span as a child of `traceparent`, or a new trace without one. */
    startSpan(name: string, traceparent: string | undefined, kind: "server" | "client"): HopSpan;
    close(): Promise<void>;
}

export interface TracingOptions {
    readonly program: string;
    readonly instance: string;
    /** OTLP/HTTP endpoint such as `http://127.0.0.1:4318/v1/traces`; undefined turns recording off. */
    readonly endpoint: string | undefined;
    /** Share of new traces that are recorded, 0 to 1. */
    readonly samplingRatio: number;
}

const traceparentPattern = /^00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})$/;
const exportDelayMs = 200;

export function createTracing(options: TracingOptions): Tracing {
    return options.endpoint === undefined ? createPropagatingTracing() : createRecordingTracing(options, options.endpoint);
}

const noop = (): void => {};

/** Propagates trace ids without recording spans. */
function createPropagatingTracing(): Tracing {
    const nextId = createIdGenerator();
    return {
        startSpan: (_name, traceparent) => {
            const parent = traceparent === undefined ? null : traceparentPattern.exec(traceparent);
            if (parent !== null) {
                return { context: { traceId: parent[1]!, traceparent: traceparent! }, setAttribute: noop, end: noop };
            }
            const traceId = nextId(16);
            return { context: { traceId, traceparent: `00-${traceId}-${nextId(8)}-00` }, setAttribute: noop, end: noop };
        },
        close: async () => {},
    };
}

/** Generates hexadecimal ids from a buffer of random bytes; a system call for each id would cost more than the request. */
function createIdGenerator(): (bytes: number) => string {
    const buffer = Buffer.alloc(4096);
    let offset = buffer.length;
    return bytes => {
        if (offset + bytes > buffer.length) {
            randomFillSync(buffer);
            offset = 0;
        }
        offset += bytes;
        return buffer.toString("hex", offset - bytes, offset);
    };
}

function createRecordingTracing(options: TracingOptions, endpoint: string): Tracing {
    const provider = new BasicTracerProvider({
        resource: new Resource({ "service.name": options.program, "service.instance.id": options.instance }),
        sampler: new ParentBasedSampler({ root: new TraceIdRatioBasedSampler(options.samplingRatio) }),
        spanProcessors: [
            new BatchSpanProcessor(new OTLPTraceExporter({ url: endpoint }), { scheduledDelayMillis: exportDelayMs }),
        ],
    });
    const tracer: Tracer = provider.getTracer(options.program);
    return {
        startSpan: (name, traceparent, kind) => {
            const spanKind = kind === "server" ? SpanKind.SERVER : SpanKind.CLIENT;
            const span = tracer.startSpan(name, { kind: spanKind }, parentContext(traceparent));
            return {
                context: contextOf(span),
                setAttribute: (key, value) => void span.setAttribute(key, value),
                end: () => span.end(),
            };
        },
        close: async () => {
            await provider.shutdown().catch(() => {});
        },
    };
}

function contextOf(span: Span): TraceContext {
    const { traceId, spanId, traceFlags } = span.spanContext();
    return { traceId, traceparent: `00-${traceId}-${spanId}-${traceFlags.toString(16).padStart(2, "0")}` };
}

function parentContext(traceparent: string | undefined): Context {
    const parts = traceparent === undefined ? null : traceparentPattern.exec(traceparent);
    if (parts === null) {
        return ROOT_CONTEXT;
    }
    const [, traceId, spanId, flags] = parts;
    return trace.setSpanContext(ROOT_CONTEXT, {
        traceId: traceId!,
        spanId: spanId!,
        traceFlags: Number.parseInt(flags!, 16),
        isRemote: true,
    });
}
