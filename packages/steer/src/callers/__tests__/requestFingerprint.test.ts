/** Which requests count as the same. */
import { firstPlace } from "@pimentospring/core/steering/connectionPlace";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CallerRequest } from "../callerServer.js";
import { createRequestFingerprint } from "../requestFingerprint.js";

const requestFrom = (fields: Partial<CallerRequest> = {}): CallerRequest => ({
    method: "GET",
    path: "/status/7/591d",
    host: "a.example",
    rawHeaders: [],
    header: () => undefined,
    body: Buffer.from("body"),
    callerAddress: "100.64.0.9",
    removeHeaders: () => {},
    receivedAt: 0,
    place: firstPlace,
    ...fields,
});
const fingerprintOf = (fields: Partial<CallerRequest> = {}, objectId: string | undefined = "7"): string =>
    createRequestFingerprint(requestFrom(fields), objectId).value();

test("a request that crashes targets is recognised when its copies come from other addresses", () => {
    assert.equal(fingerprintOf({ callerAddress: "100.66.0.21" }), fingerprintOf());
});

test("requests that differ in method, host, path, object or body are different", () => {
    const others = [{ method: "HEAD" }, { host: "b.example" }, { path: "/status/7/591e" }, { body: Buffer.from("Body") }];
    const fingerprints = [fingerprintOf(), ...others.map(fields => fingerprintOf(fields)), fingerprintOf({}, "8")];
    assert.equal(new Set(fingerprints).size, fingerprints.length);
});
