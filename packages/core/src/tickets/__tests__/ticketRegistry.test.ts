import assert from "node:assert/strict";
import { test } from "node:test";
import { ticketLifetimeMs } from "../../constants.js";
import { toFingerprint, toInstanceId, toTicket } from "../../ids.js";
import { results } from "../../results/resultCode.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTicketRegistry } from "../ticketRegistry.js";

const key = "a key of the entries";
const redeemFingerprint = toFingerprint("tokens POST /redeem/1");

function createRegistry() {
    const timer = createVirtualTimer();
    const registry = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/run-1"), key });
    const claims = registry.verify(registry.issue())!;
    return { timer, registry, claims };
}

test("a ticket runs its request once; a repeat gets the cached answer", () => {
    const { registry, claims } = createRegistry();
    const answer = { status: 200, contentType: "text/plain", body: Buffer.from("done") };
    assert.equal(registry.spend(claims, redeemFingerprint).kind, "run");
    assert.deepEqual(registry.spend(claims, redeemFingerprint), { kind: "refuse", result: results.inProgress });
    registry.recordRan(claims.serial, answer);
    assert.deepEqual(registry.spend(claims, redeemFingerprint), { kind: "repeat", answer });
});

test("a request that provably did not run may use its ticket again, but no other request may", () => {
    const { registry, claims } = createRegistry();
    registry.spend(claims, redeemFingerprint);
    registry.recordNotRun(claims.serial);
    assert.deepEqual(registry.spend(claims, toFingerprint("other")), { kind: "refuse", result: results.ticketReused });
    assert.equal(registry.spend(claims, redeemFingerprint).kind, "run");
});

test("a request with unknown outcome never runs again, even if it is later reported as not run", () => {
    const { registry, claims } = createRegistry();
    registry.spend(claims, redeemFingerprint);
    registry.recordUnknownOutcome(claims.serial);
    registry.recordNotRun(claims.serial);
    assert.deepEqual(registry.spend(claims, redeemFingerprint), { kind: "refuse", result: results.outcomeUnknown });
});

test("an expired spent ticket never runs, although the registry forgets it", () => {
    const { timer, registry, claims } = createRegistry();
    registry.spend(claims, redeemFingerprint);
    registry.recordRan(claims.serial, undefined);
    timer.advance(ticketLifetimeMs + 1000);
    assert.deepEqual(registry.spend(claims, redeemFingerprint), { kind: "refuse", result: results.ticketExpired });
    const other = registry.verify(registry.issue())!;
    registry.spend(other, redeemFingerprint);
    assert.equal(registry.spentCount(), 1);
});

test("a ticket that was modified or signed with another key is refused", () => {
    const { timer, registry } = createRegistry();
    const ticket = registry.issue();
    assert.equal(registry.verify(toTicket(ticket.replace("~2~", "~3~"))), undefined);
    const otherRegistry = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/run-1"), key: "another key" });
    assert.equal(registry.verify(otherRegistry.issue()), undefined);
    for (const invalid of ["", "~~~", "a~1~2", `${ticket}~`]) {
        assert.equal(registry.verify(toTicket(invalid)), undefined);
    }
});
