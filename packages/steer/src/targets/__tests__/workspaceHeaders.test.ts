/** What a target gets of the headers that carry keys and name workspaces. */
import { type AttemptId, toRequestId, toWorkspaceId } from "@pimentospring/core/ids";
import type { Attempt } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerRequest } from "../../callers/callerServer.js";
import type { HeaderCodec } from "../../wire/headerCodec.js";
import type { TargetConnections } from "../targetConnections.js";
import type { ReceivedResponse } from "../targetResponse.js";
import { createTargetSender } from "../targetSender.js";

const headerCodec = {
    isReservedHeader: () => false,
    isWorkspaceHeader: (name: string) => name === "authorization" || name === "x-tenant",
    encodeTargetHeaders: (_deadlineMs: number, _target: string, workspace?: string) =>
        workspace === undefined ? [] : [["X-Tenant", workspace]],
} as unknown as HeaderCodec;
const rawHeaders = ["Host", "a", "AUTHORIZATION", "Token k", "x-tenant", "other", "Connection", "X-Tenant"];

/** Headers of two attempts of one request; the document has workspaces at an attempt if `needsKeys` holds for its number. */
function sentHeaders(workspace: string | undefined, needsKeys: (attempt: number) => boolean): readonly (readonly string[])[] {
    const sent: (readonly string[])[] = [];
    const timer = createVirtualTimer();
    const sender = createTargetSender({
        timer,
        headerCodec,
        connections: {
            send: (_address: string, { headers }: { headers: readonly string[]; }) => {
                sent.push(headers);
                return () => {};
            },
        } as unknown as TargetConnections,
        needsKeys: () => needsKeys(sent.length + 1),
        roundTripMs: () => 1,
        dispatcher: () => ({}) as RequestDispatcher<ReceivedResponse>,
    });
    const request = { id: toRequestId("r") };
    const caller = { method: "GET", path: "/", rawHeaders, header: () => undefined, body: Buffer.alloc(0) };
    sender.register(request, caller as unknown as CallerRequest, () => {});
    for (const id of [1, 2] as AttemptId[]) {
        const terms = { workspace: workspace === undefined ? undefined : { id: toWorkspaceId(workspace) } };
        sender.send({
            id,
            job: { request, route: { isIdempotent: true }, terms, responseDueAt: 1_000 },
            target: { record: { id: "t", address: "a", dataCentre: "d" }, noConnectionReuseUntil: 0 },
        } as unknown as Attempt<ReceivedResponse>);
    }
    return sent;
}

test("neither the key nor the caller's own workspace name reaches a target, on the first attempt or on a retry", () => {
    assert.deepEqual(sentHeaders("w", () => true), [["Host", "a", "X-Tenant", "w"], ["Host", "a", "X-Tenant", "w"]]);
});

test("a request that names no workspace on a public route reaches a target without the caller's own name", () => {
    assert.deepEqual(sentHeaders(undefined, () => true), [["Host", "a"], ["Host", "a"]]);
});

test("a key is not sent on a retry if the document got its workspaces after the first attempt", () => {
    const [first, second] = sentHeaders(undefined, attempt => attempt > 1);
    assert.deepEqual(first, ["Host", "a", "AUTHORIZATION", "Token k"]);
    assert.deepEqual(second, ["Host", "a"]);
});
