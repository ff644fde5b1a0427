/** Sends one traced request and prints its spans as a tree, one span for each hop. */
import type { CollectedSpan } from "@pimentospring/standin/platform/platform";
import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import type { Deployment } from "./deployment.js";

const spanExportDelayMs = 1_000;

export async function printTrace(deployment: Deployment): Promise<void> {
    const traceId = randomBytes(16).toString("hex");
    const receiver = deployment.file.entries.at(-1)!;
    const loadClass = deployment.file.load.find(candidate => candidate.isAtMostOnce)!;
    const headers = { traceparent: `00-${traceId}-${randomBytes(8).toString("hex")}-01` };
    // A ticket issued by another live entry makes the receiving entry forward the request over the mesh.
    const issuer = deployment.file.entries.find(entry =>
        entry.mesh !== receiver.mesh && deployment.entry(entry.mesh).process.exitCode === null
        && deployment.entry(entry.mesh).process.signalCode === null
    )!;
    const ticketResponse = await request(`http://${issuer.callers}/v1/tickets`, { method: "POST" });
    const { tickets: [ticket] } = await ticketResponse.body.json() as { readonly tickets: string[]; };
    const response = await request(`http://${receiver.callers}/s/${loadClass.service}${loadClass.path}`, {
        method: "POST",
        headers: { ...headers, "x-pimento-ticket": ticket! },
        body: "{}",
    });
    await response.body.dump();
    process.stdout.write(
        `\none request of class ${loadClass.name}, result ${response.headers["x-pimento-result"]}, trace ${traceId}\n`,
    );
    await sleep(spanExportDelayMs);
    const spansResponse = await request(`${deployment.platformUrl}/spans`);
    const spans = (await spansResponse.body.json() as CollectedSpan[]).filter(span => span.traceId === traceId);
    const spanIds = new Set(spans.map(span => span.spanId));
    const print = (span: CollectedSpan, depth: number): void => {
        const duration = (span.endMs - span.startMs).toFixed(2);
        process.stdout.write(`${"  ".repeat(depth + 1)}${span.name}  ${duration} ms  ${span.instance}\n`);
        spans.filter(child => child.parentSpanId === span.spanId).forEach(child => print(child, depth + 1));
    };
    spans.filter(span => !spanIds.has(span.parentSpanId)).forEach(span => print(span, 0));
}
