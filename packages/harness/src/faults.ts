/** Faults that a schedule may contain, as data, so that a failing schedule can be printed, shrunk and kept as a test. */
import { toAddress, toTargetId } from "@pimentospring/core/ids";
import { createFakeCaller } from "./fakeCaller.js";
import type { ScheduledAction } from "./scenario.js";
import type { Simulation } from "./simulation.js";

/** `entry` and `target` are indices into the world's lists; times are milliseconds after the load's start. */
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
    return { at: fault.at, run: world => injectFault(world, fault) };
}

function injectFault(world: Simulation, fault: Fault): void {
    switch (fault.kind) {
        case "kill":
            kill(world, fault.entry, fault.restartAfter);
            break;
        case "freeze":
            freeze(world, fault.entry, fault.lasts);
            break;
        case "cutPair":
            cut(world, [addressAt(world, fault.entry)], [addressAt(world, fault.other)], fault.lasts);
            break;
        case "cutRegion":
            cutRegion(world, fault.region, fault.lasts);
            break;
        case "storeOutage":
            world.setStoreAvailable(false);
            world.timer.after(fault.lasts, () => world.setStoreAvailable(true));
            break;
        case "drain":
            drain(world, fault.target);
            break;
        case "slow":
            slow(world, fault.target, fault.factor, fault.lasts);
            break;
        case "targetDies":
            world.targets()[fault.target % world.targets().length]!.crash("");
            break;
        case "poison":
            sendPoison(world, fault.caller);
            break;
        case "leave":
            leave(world, fault.entry);
            break;
    }
}

const entryAt = (world: Simulation, number: number) => world.entries()[number % world.entries().length]!;
const addressAt = (world: Simulation, number: number) => entryAt(world, number).address;

function kill(world: Simulation, number: number, restartAfter: number): void {
    const entry = entryAt(world, number);
    world.killEntry(entry.address);
    world.timer.after(restartAfter, () => {
        if (world.entryAt(entry.address)?.isDead()) {
            world.startEntry(entry.address, entry.dataCentre);
        }
    });
}

function freeze(world: Simulation, number: number, lasts: number): void {
    const entry = entryAt(world, number);
    entry.timer.pause();
    world.timer.after(lasts, () => entry.timer.resume());
}

function cut(world: Simulation, left: readonly string[], right: readonly string[], lasts: number): void {
    const heal = world.partition(left.map(toAddress), right.map(toAddress));
    world.timer.after(lasts, heal);
}

function cutRegion(world: Simulation, number: number, lasts: number): void {
    const regions = world.document().regions;
    const region = regions[number % regions.length]!.id;
    const isInside = (dataCentre: string): boolean => world.regionOf(dataCentre as never) === region;
    const inside = world.entries().filter(entry => isInside(entry.dataCentre)).map(entry => entry.address);
    const outside = world.entries().filter(entry => !isInside(entry.dataCentre)).map(entry => entry.address);
    cut(world, inside, outside, lasts);
}

function drain(world: Simulation, number: number): void {
    if (!world.isStoreAvailable()) {
        // Operators get an error while the store is down, and try again.
        world.timer.after(operatorRetryMs, () => drain(world, number));
        return;
    }
    const targets = world.document().targets;
    const target = targets[number % targets.length]!;
    world.editDocument(document => ({
        ...document,
        targets: document.targets.map(found => found.id === target.id ? { ...found, state: "draining" as const } : found),
    }));
    world.log.append({ kind: "drainOrdered", at: world.timer.now(), target: toTargetId(target.id) });
}

function slow(world: Simulation, number: number, factor: number, lasts: number): void {
    const target = world.targets()[number % world.targets().length]!;
    target.slowFactor = factor;
    world.timer.after(lasts, () => {
        target.slowFactor = 1;
    });
}

/** A caller sends one request that kills each target that runs it, again and again. */
function sendPoison(world: Simulation, number: number): void {
    const service = world.document().services[0]!;
    const requestClass = service.classes.find(entry => entry.runs === "idempotent")!;
    const caller = createFakeCaller(world, `10.${(number % 3) + 1}.0.9`);
    caller.send({
        workId: `poison-${number}-${world.timer.now()}`,
        service: service.id,
        method: "GET",
        path: `${requestClass.pathPrefix}/poison-${number}`,
        isAtMostOnce: false,
        meanMs: 10,
        isPoison: true,
        deadlineMs: 5_000,
    }, "poison");
}

function leave(world: Simulation, number: number): void {
    const entry = entryAt(world, number);
    if (entry.isDead()) {
        return;
    }
    entry.handle({ kind: "leave" });
    world.timer.after(killAfterLeavingMs, () => world.killEntry(entry.address));
}
