/** Faults of a schedule as plain data, so that a failing schedule can be printed, shrunk and kept as a regression test. */
import { toAddress, toTargetId } from "@pimentospring/core/ids";
import { createFakeCaller } from "./fakeCaller.js";
import type { ScheduledAction } from "./scenario.js";
import type { Simulation } from "./simulation.js";

/** `entry` and `target` are indices into the simulation's lists; `at` is in milliseconds after the start of the load. */
export type Fault =
    | { readonly kind: "kill"; readonly at: number; readonly entry: number; readonly restartAfter: number; }
    | { readonly kind: "freeze"; readonly at: number; readonly entry: number; readonly lasts: number; }
    | { readonly kind: "cutPair"; readonly at: number; readonly entry: number; readonly other: number; readonly lasts: number; }
    | { readonly kind: "cutRegion"; readonly at: number; readonly region: number; readonly lasts: number; }
    | { readonly kind: "storeOutage"; readonly at: number; readonly lasts: number; }
    | { readonly kind: "drain"; readonly at: number; readonly target: number; }
    | { readonly kind: "slow"; readonly at: number; readonly target: number; readonly factor: number; readonly lasts: number; }
    | { readonly kind: "targetDies"; readonly at: number; readonly target: number; }
    | { readonly kind: "poison"; readonly at: number; readonly caller: number; }
    | { readonly kind: "leave"; readonly at: number; readonly entry: number; };

const killAfterLeavingMs = 6_000;
const operatorRetryMs = 500;

export function toScheduledAction(fault: Fault): ScheduledAction {
    return { at: fault.at, run: simulation => injectFault(simulation, fault) };
}

function injectFault(simulation: Simulation, fault: Fault): void {
    switch (fault.kind) {
        case "kill":
            killEntry(simulation, fault.entry, fault.restartAfter);
            break;
        case "freeze":
            pauseEntry(simulation, fault.entry, fault.lasts);
            break;
        case "cutPair":
            partition(simulation, [addressAt(simulation, fault.entry)], [addressAt(simulation, fault.other)], fault.lasts);
            break;
        case "cutRegion":
            partitionRegion(simulation, fault.region, fault.lasts);
            break;
        case "storeOutage":
            simulation.setStoreAvailable(false);
            simulation.timer.after(fault.lasts, () => simulation.setStoreAvailable(true));
            break;
        case "drain":
            drainTarget(simulation, fault.target);
            break;
        case "slow":
            slowTarget(simulation, fault.target, fault.factor, fault.lasts);
            break;
        case "targetDies":
            simulation.targets()[fault.target % simulation.targets().length]!.crash("");
            break;
        case "poison":
            sendPoisonRequest(simulation, fault.caller);
            break;
        case "leave":
            startLeaving(simulation, fault.entry);
            break;
    }
}

const entryAt = (simulation: Simulation, index: number) => simulation.entries()[index % simulation.entries().length]!;
const addressAt = (simulation: Simulation, index: number) => entryAt(simulation, index).address;

function killEntry(simulation: Simulation, index: number, restartAfterMs: number): void {
    const entry = entryAt(simulation, index);
    simulation.killEntry(entry.address);
    simulation.timer.after(restartAfterMs, () => {
        if (simulation.entryAt(entry.address)?.isDead()) {
            simulation.startEntry(entry.address, entry.dataCentre);
        }
    });
}

function pauseEntry(simulation: Simulation, index: number, durationMs: number): void {
    const entry = entryAt(simulation, index);
    entry.timer.pause();
    simulation.timer.after(durationMs, () => entry.timer.resume());
}

function partition(simulation: Simulation, left: readonly string[], right: readonly string[], durationMs: number): void {
    const heal = simulation.partition(left.map(toAddress), right.map(toAddress));
    simulation.timer.after(durationMs, heal);
}

function partitionRegion(simulation: Simulation, index: number, durationMs: number): void {
    const regions = simulation.document().regions;
    const region = regions[index % regions.length]!.id;
    const isInside = (dataCentre: string): boolean => simulation.regionOf(dataCentre as never) === region;
    const inside = simulation.entries().filter(entry => isInside(entry.dataCentre)).map(entry => entry.address);
    const outside = simulation.entries().filter(entry => !isInside(entry.dataCentre)).map(entry => entry.address);
    partition(simulation, inside, outside, durationMs);
}

function drainTarget(simulation: Simulation, index: number): void {
    if (!simulation.isStoreAvailable()) {
        // While the store is unavailable the operator's change fails and is retried.
        simulation.timer.after(operatorRetryMs, () => drainTarget(simulation, index));
        return;
    }
    const targets = simulation.document().targets;
    const target = targets[index % targets.length]!;
    simulation.editDocument(document => ({
        ...document,
        targets: document.targets.map(each => each.id === target.id ? { ...each, state: "draining" as const } : each),
    }));
    simulation.log.append({ kind: "drainOrdered", at: simulation.timer.now(), target: toTargetId(target.id) });
}

function slowTarget(simulation: Simulation, index: number, factor: number, durationMs: number): void {
    const target = simulation.targets()[index % simulation.targets().length]!;
    target.slowFactor = factor;
    simulation.timer.after(durationMs, () => {
        target.slowFactor = 1;
    });
}

/** Sends one request, with the caller's retries, that crashes every target that runs it. */
function sendPoisonRequest(simulation: Simulation, index: number): void {
    const service = simulation.document().services[0]!;
    const requestClass = service.classes.find(entry => entry.runs === "idempotent")!;
    const caller = createFakeCaller(simulation, `10.${(index % 3) + 1}.0.9`);
    caller.send({
        workId: `poison-${index}-${simulation.timer.now()}`,
        service: service.id,
        method: "GET",
        path: `${requestClass.pathPrefix}/poison-${index}`,
        isAtMostOnce: false,
        meanMs: 10,
        isPoison: true,
        deadlineMs: 5_000,
    }, "poison");
}

function startLeaving(simulation: Simulation, index: number): void {
    const entry = entryAt(simulation, index);
    if (entry.isDead()) {
        return;
    }
    entry.handle({ kind: "leave" });
    simulation.timer.after(killAfterLeavingMs, () => simulation.killEntry(entry.address));
}
