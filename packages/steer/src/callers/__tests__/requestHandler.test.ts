/** Each request gets a response, also if its target's response can't be written. */
import type { FinalResponse, SteeringRequest } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { LogFields } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { TargetResponse } from "../../targets/targetResponse.js";
import type { HeaderCodec } from "../../wire/headerCodec.js";
import type { CallerRequest } from "../callerServer.js";
import { createRequestHandler } from "../requestHandler.js";
import { bodyOf } from "./startedServer.js";

// Guards against CONFIG: the job had ended, so that neither its timeout nor anything else answered the caller.
test("a response that can't be written is replaced by a refusal with an unknown outcome, and logged", () => {
    const lines: [number, LogFields | undefined][] = [];
    const refusals: number[] = [];
    const handler = createRequestHandler({
        timer: createVirtualTimer(),
        log: { write: (event, fields) => lines.push([event.number, fields]) },
        headerCodec: {
            decodeCallerHeaders: () => ({ id: "one", deadlineMs: 1_000, objectId: undefined }),
            decodeKey: () => undefined,
        } as unknown as HeaderCodec,
        dispatcher: () =>
            ({
                submit: (_request: SteeringRequest, finish: (response: FinalResponse<TargetResponse>) => void) => {
                    const answer = { status: 200, statusText: "O\x0b", rawHeaders: [], body: bodyOf("") };
                    finish({ kind: "answer", answer });
                    return () => {};
                },
            }) as unknown as RequestDispatcher<TargetResponse>,
        register: () => () => {},
        needsKeys: () => false,
        isAccepting: () => true,
        stopDeadline: () => Infinity,
    });
    const caller = {
        method: "GET",
        path: "/",
        host: "a",
        header: () => undefined,
        body: Buffer.alloc(0),
        callerAddress: "",
        receivedAt: 0,
    };
    handler.handle(caller as unknown as CallerRequest, {
        respond: () => {
            throw new Error("Invalid character in statusMessage");
        },
        refuse: result => refusals.push(result.code),
    });
    assert.deepEqual(refusals, [3007]);
    assert.equal(lines[0]![0], logEvents.responseNotWritten.number);
    assert.equal(lines[0]![1]?.["request"], "one");
});
