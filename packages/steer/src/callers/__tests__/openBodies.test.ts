/** Which bodies that are being received are given up, and for what. */
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type BodyFault, createOpenBodies, type OpenBody } from "../openBodies.js";

interface ReceivedBody {
    readonly receive: (bytes: number, chunks?: number) => void;
    readonly fault: () => BodyFault | undefined;
}

interface Fixture {
    readonly timer: ReturnType<typeof createVirtualTimer>;
    readonly addBody: () => ReceivedBody;
    readonly giveUpStalled: () => boolean;
    readonly setBehind: (isBehind: boolean) => void;
}

function createFixture(): Fixture {
    const timer = createVirtualTimer();
    let isBehind = false;
    const openBodies = createOpenBodies({ timer, maxFramingMs: () => 3_000, isBehind: () => isBehind });
    const addBody = (): ReceivedBody => {
        let size = 0;
        let chunkCount = 0;
        let fault: BodyFault | undefined;
        const body: OpenBody = {
            size: () => size,
            chunkCount: () => chunkCount,
            connectionBytes: () => size + 6 * chunkCount,
            giveUp: given => {
                fault = given;
            },
        };
        openBodies.add(body);
        return {
            receive: (bytes, chunks = 1) => {
                size += bytes;
                chunkCount += chunks;
                openBodies.recordProgress(body);
            },
            fault: () => fault,
        };
    };
    return {
        timer,
        addBody,
        giveUpStalled: openBodies.giveUpStalled,
        setBehind: next => {
            isBehind = next;
        },
    };
}

// Guards against memory that a few bytes a second are enough to hold.
test("a body that brings single bytes makes room before one that brings its share", () => {
    const { timer, addBody, giveUpStalled } = createFixture();
    const slow = addBody();
    const ordinary = addBody();
    slow.receive(900_000);
    for (let tick = 0; tick < 50; tick++) {
        timer.advance(100);
        slow.receive(20);
        ordinary.receive(8_000);
    }
    assert.equal(giveUpStalled(), true);
    assert.equal(slow.fault(), "stalled");
    assert.equal(giveUpStalled(), false);
    assert.equal(ordinary.fault(), undefined);
});

test("the body that has stalled longest makes room first, and one that has just begun is spared", () => {
    const { timer, addBody, giveUpStalled } = createFixture();
    const first = addBody();
    timer.advance(300);
    const second = addBody();
    timer.advance(300);
    const third = addBody();
    assert.equal(giveUpStalled(), true);
    assert.equal(first.fault(), "stalled");
    assert.equal(giveUpStalled(), false);
    timer.advance(300);
    assert.equal(giveUpStalled(), true);
    assert.deepEqual([second.fault(), third.fault()], ["stalled", undefined]);
});

test("while the process is behind, bodies of very many chunks are given up but for a few", () => {
    const { timer, addBody, setBehind } = createFixture();
    const costly = Array.from({ length: 20 }, addBody);
    const ordinary = Array.from({ length: 20 }, addBody);
    const receive = (): void => {
        costly.forEach((body, index) => body.receive(20_000 + index, 20_000 + index));
        ordinary.forEach(body => body.receive(64_000));
    };
    receive();
    timer.advance(1_000);
    assert.ok(costly.every(body => body.fault() === undefined), "in calm none is given up");
    setBehind(true);
    timer.advance(1_000);
    assert.equal(costly.filter(body => body.fault() === "tooManyChunks").length, 16);
    assert.deepEqual(costly.slice(0, 4).map(body => body.fault()), [undefined, undefined, undefined, undefined]);
    assert.ok(ordinary.every(body => body.fault() === undefined));
});
