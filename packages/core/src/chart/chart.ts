/**
 * Loads and interprets the state charts in `charts/`. A chart defines the next state for every pair of state and event,
 * so no transition can be missing at run time.
 */
import { readFileSync } from "node:fs";
import * as v from "valibot";

export interface Chart<State extends string, Event extends string> {
    readonly initial: State;
    readonly states: readonly State[];
    readonly events: readonly Event[];
    /** States without outgoing transitions. */
    readonly final: readonly State[];
    next(state: State, event: Event): State;
}

const chartSchema = v.strictObject({
    initial: v.string(),
    final: v.array(v.string()),
    events: v.array(v.string()),
    states: v.record(v.string(), v.record(v.string(), v.string())),
});

/** Loads `charts/<name>.json`; throws if its states or events differ from those that the code expects. */
export function loadChart<State extends string, Event extends string>(
    name: string,
    states: readonly State[],
    events: readonly Event[],
): Chart<State, Event> {
    const text = readFileSync(new URL(`../../charts/${name}.json`, import.meta.url), "utf8");
    const parsed = v.parse(chartSchema, JSON.parse(text));
    requireSame(name, "states", Object.keys(parsed.states), states);
    requireSame(name, "events", parsed.events, events);
    const table = new Map<State, Map<Event, State>>();
    for (const state of states) {
        const row = parsed.states[state]!;
        requireSame(name, `events of ${state}`, Object.keys(row), events);
        requireKnown(name, Object.values(row), states);
        table.set(state, new Map(events.map(event => [event, row[event] as State])));
    }
    return {
        initial: parsed.initial as State,
        states,
        events,
        final: parsed.final as State[],
        next: (state, event) => table.get(state)!.get(event)!,
    };
}

function requireSame(chart: string, subject: string, found: readonly string[], expected: readonly string[]): void {
    const isDifferent = found.length !== expected.length || expected.some(name => !found.includes(name));
    if (isDifferent) {
        throw new Error(`chart ${chart}: ${subject} are ${found.join(", ")}; the code expects ${expected.join(", ")}`);
    }
}

function requireKnown(chart: string, names: readonly string[], states: readonly string[]): void {
    const unknown = names.find(name => !states.includes(name));
    if (unknown !== undefined) {
        throw new Error(`chart ${chart}: a transition leads to "${unknown}", which is not a state`);
    }
}
