/** What a process tells of its memory near the limit. */
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMemoryMonitor } from "../memoryMonitor.js";

test("memory near its limit is logged with its parts when it begins and when it ends", () => {
    const timer = createVirtualTimer();
    const lines: string[] = [];
    let residentBytes = 0;
    const monitor = createMemoryMonitor({
        timer,
        log: { write: ({ name }, fields) => void lines.push(`${name} ${fields?.["residentBytes"]} ${fields?.["heldBytes"]}`) },
        maxResidentBytes: 100,
        readResidentBytes: () => residentBytes,
        readUsage: () => ({ residentBytes, heapUsedBytes: 1, externalBytes: 1, bufferBytes: 1 }),
        heldBytes: () => ({ heldBytes: 7 }),
    });
    monitor.start();
    for (const next of [50, 79, 85, 95, 75, 69, 75]) {
        residentBytes = next;
        timer.advance(250);
    }
    assert.deepEqual(lines, ["memoryHigh 85 7", "memoryNormal 69 7"]);
    assert.equal(monitor.isHigh(), false);
});
