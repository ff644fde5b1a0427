/** Reports of a replica that is behind other entries, or of a store that does not respond. */
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import type { Log } from "@pimentospring/runtime/logs/log";
import type { LogEvent } from "@pimentospring/runtime/logs/logEvents";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createReplicaFreshness, type Freshness } from "../replicaFreshness.js";

test("a replica that stays behind a peer is reported stale once, with the age of the pending call, and fresh again", () => {
    const timer = createVirtualTimer();
    const names: string[] = [];
    const lines: Partial<Freshness>[] = [];
    const write = (event: LogEvent, line: Partial<Freshness>): void => {
        names.push(event.name);
        lines.push(line);
    };
    const log = { write } as unknown as Log;
    let revision = 5;
    const freshness = createReplicaFreshness({
        timer,
        log,
        revision: () => revision,
        pendingSince: () => 0,
        lastResponseAt: timer.now,
    });
    freshness.start();
    timer.advance(10_000);
    freshness.recordPeerRevision(7);
    timer.advance(900);
    assert.deepEqual(names, []);
    timer.advance(2_000);
    assert.deepEqual(names, ["replicaStale"]);
    assert.equal(lines[0]!.peerRevision, 7);
    assert.ok(lines[0]!.pendingMs! >= 11_000);
    assert.ok(freshness.current().staleMs >= 1_000);
    revision = 7;
    timer.advance(500);
    assert.deepEqual(names, ["replicaStale", "replicaFresh"]);
    assert.equal(freshness.current().staleMs, 0);
});

test("a store that does not respond makes the replica stale, before its first response too", () => {
    const timer = createVirtualTimer();
    let responseAt = -Infinity;
    const freshness = createReplicaFreshness({
        timer,
        log: { write: () => {} } as unknown as Log,
        revision: () => 0,
        pendingSince: () => undefined,
        lastResponseAt: () => responseAt,
    });
    freshness.start();
    timer.advance(3_000);
    assert.equal(freshness.current().staleMs, 0);
    assert.equal(freshness.current().silentMs, undefined);
    timer.advance(3_000);
    assert.ok(freshness.current().staleMs > 0);
    responseAt = timer.now();
    timer.advance(500);
    assert.equal(freshness.current().staleMs, 0);
});
