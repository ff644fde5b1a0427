/** What targets say of their own availability in responses, against real daemons whose store says nothing of it. */
import assert from "node:assert/strict";
import { after, before, test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type Daemon, send, startSteeringFleet, type SteeringFleet, waitUntil } from "./steeringFleet.js";

let fleet: SteeringFleet;
let sent = 0;

before(async () => {
    fleet = await startSteeringFleet("127.0.79");
});
after(() => fleet.close());

/** Sends more at once than one target has slots. */
async function sendTogether(daemon: Daemon): Promise<void> {
    await Promise.all(Array.from({ length: 12 }, () => sendMany(daemon, 1)));
}

async function sendMany(daemon: Daemon, count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
        await send(daemon, `/look/${index}`, `notice-${++sent}`);
    }
}

test("targets that ask for a pause get at most two requests each until its end, from each entry", async () => {
    const pauseMs = 1_500;
    fleet.targets.forEach(target => target.pauseFor(pauseMs));
    const pausedAt = performance.now();
    while (performance.now() < pausedAt + pauseMs - 100) {
        await Promise.all(fleet.daemons.map(sendTogether));
    }
    for (const { arrivals } of fleet.targets) {
        const firstAt = arrivals.find(at => at >= pausedAt)!;
        const late = arrivals.filter(at => at > firstAt + 500 && at < pausedAt + pauseMs);
        assert.ok(late.length <= 2 * fleet.daemons.length, `${late.length} arrivals`);
    }
    for (const target of fleet.targets) {
        await waitUntil("the target is used again", async () => {
            const before = target.requestIds().length;
            await sendTogether(fleet.daemons[0]!);
            return target.requestIds().length > before;
        });
    }
});

test("a target that says it leaves gets nothing more, from the entry that it told or from the other one", async () => {
    const [first, second] = fleet.targets;
    const [told, other] = fleet.daemons;
    second!.leave();
    await waitUntil("an entry is told", async () => {
        await sendTogether(told!);
        return /"target":"t1"[^\n]*"change":"draining"/.test(told!.log);
    });
    await waitUntil("the other entry knows", () => /"target":"t1"[^\n]*"change":"draining"/.test(other!.log));
    const before = second!.requestIds().length;
    // The store still lists it as ready.
    fleet.announceTarget(1);
    await sleep(600);
    await Promise.all(fleet.daemons.map(sendTogether));
    assert.equal(second!.requestIds().length, before);
    assert.ok(first!.requestIds().length > 0);
});
