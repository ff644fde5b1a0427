import assert from "node:assert/strict";
import { test } from "node:test";
import type { Chart } from "../chart.js";
import { followerChart, peerChart, targetChart, ticketChart } from "../charts.js";

const charts: Record<string, Chart<string, string>> = {
    peer: peerChart as Chart<string, string>,
    target: targetChart as Chart<string, string>,
    ticket: ticketChart as Chart<string, string>,
    follower: followerChart as Chart<string, string>,
};

function reachable(chart: Chart<string, string>, from: string): Set<string> {
    const seen = new Set([from]);
    const pending = [from];
    while (pending.length > 0) {
        const state = pending.pop()!;
        for (const event of chart.events) {
            const next = chart.next(state, event);
            if (!seen.has(next)) {
                seen.add(next);
                pending.push(next);
            }
        }
    }
    return seen;
}

for (const [name, chart] of Object.entries(charts)) {
    test(`chart ${name}: every event is handled in every state`, () => {
        for (const state of chart.states) {
            for (const event of chart.events) {
                assert.ok(chart.states.includes(chart.next(state, event)), `${state} on ${event}`);
            }
        }
    });
    test(`chart ${name}: every state is reachable, and only final states have no outgoing transition`, () => {
        assert.deepEqual([...reachable(chart, chart.initial)].sort(), [...chart.states].sort());
        for (const state of chart.states) {
            const hasExit = chart.events.some(event => chart.next(state, event) !== state);
            assert.equal(hasExit, !chart.final.includes(state), state);
        }
    });
}

test("a spent ticket becomes unspent only if the request provably did not run", () => {
    for (const event of ticketChart.events.filter(found => found !== "provedNotRun")) {
        assert.notEqual(ticketChart.next("running", event), "unspent", event);
    }
});
