/** How the event loop's time is shared among connections whose input takes long to parse. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { createInputScheduler, createInputTask, type InputScheduler, type InputTask } from "../inputScheduler.js";

interface Fixture {
    readonly scheduler: InputScheduler;
    /** A task of steps that each take some time; calls `onStep` with each. */
    readonly createTask: (steps: number, stepMs: number, onStep?: () => void) => InputTask;
    /** Polls the sockets, after which the functions run that waited for it. */
    readonly poll: () => void;
    readonly now: () => number;
    readonly advance: (ms: number) => void;
}

function createFixture(): Fixture {
    let now = 0;
    let deferred: (() => void)[] = [];
    const scheduler = createInputScheduler({ timer: { now: () => now }, afterPoll: listener => deferred.push(listener) });
    const createTask: Fixture["createTask"] = (steps, stepMs, onStep = () => {}) => {
        let left = steps;
        return createInputTask(() => {
            left--;
            now += stepMs;
            onStep();
            return left > 0;
        }, now);
    };
    const poll = (): void => {
        const listeners = deferred;
        deferred = [];
        listeners.forEach(listener => listener());
    };
    return { scheduler, createTask, poll, now: () => now, advance: ms => void (now += ms) };
}

test("cheap steps are run at once", () => {
    const { scheduler, createTask } = createFixture();
    let steps = 0;
    scheduler.run(createTask(30, 0.1, () => void steps++));
    assert.equal(steps, 30);
    assert.equal(scheduler.backlog(), 0);
});

// Guards against a process that parses what a few connections sent for minutes before it polls its sockets again.
test("the sockets are polled after a bounded time, whatever the number of connections with work", () => {
    const { scheduler, createTask, poll, now } = createFixture();
    for (let count = 0; count < 500; count++) {
        scheduler.run(createTask(1_000, 1));
    }
    for (let turn = 0; turn < 100; turn++) {
        const before = now();
        poll();
        assert.ok(now() - before <= 6, `${now() - before} ms`);
    }
    assert.equal(scheduler.backlog(), 500);
});

test("a connection that has used little time goes before all that have used more", () => {
    const { scheduler, createTask, poll } = createFixture();
    for (let count = 0; count < 60; count++) {
        scheduler.run(createTask(10_000, 1));
    }
    for (let turn = 0; turn < 100; turn++) {
        poll();
    }
    let isServed = false;
    scheduler.run(createTask(1, 0.1, () => {
        isServed = true;
    }));
    poll();
    assert.ok(isServed);
});

// Guards against a large upload that gets one read in each turn, as costly connections have used up the time before it.
test("while costly connections wait, they use no time before the sockets are polled, and a cheap one is served at once", () => {
    const { scheduler, createTask, poll } = createFixture();
    const costly = Array.from({ length: 10 }, () => createTask(10_000, 1));
    costly.forEach(scheduler.run);
    for (let turn = 0; turn < 100; turn++) {
        poll();
    }
    const before = costly.map(({ usedMs }) => usedMs);
    costly.forEach(scheduler.run);
    assert.deepEqual(costly.map(({ usedMs }) => usedMs), before);
    poll();
    let isServed = false;
    scheduler.run(createTask(1, 0.1, () => {
        isServed = true;
    }));
    assert.ok(isServed);
});

test("connections with as much work each get the same time", () => {
    const { scheduler, createTask, poll } = createFixture();
    const steps = Array.from({ length: 10 }, () => 0);
    steps.forEach((_, index) => scheduler.run(createTask(10_000, 1, () => void steps[index]!++)));
    for (let turn = 0; turn < 200; turn++) {
        poll();
    }
    assert.ok(Math.max(...steps) - Math.min(...steps) <= 6, steps.join(" "));
});

test("time that was used long ago does not count", () => {
    const { scheduler, createTask, poll, advance } = createFixture();
    let oldSteps = 0;
    const old = createTask(300, 1, () => void oldSteps++);
    scheduler.run(old);
    while (scheduler.backlog() > 0) {
        poll();
    }
    advance(20_000);
    poll();
    let freshSteps = 0;
    const again = { ...createTask(100, 1, () => void oldSteps++), usedMs: old.usedMs, usedAt: old.usedAt };
    oldSteps = 0;
    scheduler.run(createTask(100, 1, () => void freshSteps++));
    scheduler.run(again);
    for (let turn = 0; turn < 20; turn++) {
        poll();
    }
    assert.ok(oldSteps > 40 && freshSteps > 40, `${oldSteps} ${freshSteps}`);
});

test("the backlog's duration counts from when there was none", () => {
    const { scheduler, createTask, poll, advance } = createFixture();
    assert.equal(scheduler.backlogMs(), 0);
    scheduler.run(createTask(30, 1));
    advance(100);
    assert.ok(scheduler.backlogMs() >= 100);
    while (scheduler.backlog() > 0) {
        poll();
    }
    assert.equal(scheduler.backlogMs(), 0);
});

test("a cancelled task makes no further steps", () => {
    const { scheduler, createTask, poll } = createFixture();
    let steps = 0;
    const task = createTask(100, 1, () => void steps++);
    scheduler.run(task);
    const before = steps;
    scheduler.cancel(task);
    poll();
    assert.equal(steps, before);
    assert.equal(scheduler.backlogMs(), 0);
});
