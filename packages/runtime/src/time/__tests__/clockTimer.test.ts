/** The timer on the machine's clock, at the limits of what it is built on. */
import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { test } from "node:test";
import { createClockTimer } from "../clockTimer.js";
import { createCountedTimer } from "../countedTimer.js";

const pause = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

test("a delay beyond what the machine's timers can hold does not fire at once", async () => {
    const timer = createCountedTimer(createClockTimer());
    const cancels = [2 ** 31, 1e15, Infinity].map(delayMs => timer.after(delayMs, () => {}));
    cancels.push(timer.subscribe(2 ** 40, () => {}));
    await pause(30);
    cancels.forEach(cancel => cancel());
    assert.equal(timer.callCount(), 0);
});

test("a delay that is no number is refused", () => {
    assert.throws(() => createClockTimer().after(Number.NaN, () => {}), RangeError);
});

// Runs in a process of its own, as the error is caught by the process's handler.
test("a call that throws keeps no other call of the same moment, nor its own next one, from running", () => {
    const program = `
        import { createClockTimer } from ${JSON.stringify(new URL("../clockTimer.js", import.meta.url))};
        process.on("uncaughtException", () => {});
        const timer = createClockTimer();
        const ran = [];
        for (const name of ["a", "b", "c"]) {
            timer.after(20, () => { ran.push(name); throw new Error(name); });
        }
        let rounds = 0;
        const cancel = timer.subscribe(10, () => { rounds++; throw new Error("round"); });
        timer.after(100, () => { cancel(); console.log(ran.join(""), rounds > 2); });
    `;
    const { stdout } = spawnSync(process.execPath, ["--input-type=module", "--eval", program], { encoding: "utf8" });
    assert.equal(stdout.trim(), "abc true");
});
