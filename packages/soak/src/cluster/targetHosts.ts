/** Targets behind proxies: they are announced, leave, crash, come back, and have their addresses used again. */
import type { Operator } from "@pimentospring/standin/direct/operatorStandin";
import { type RequestRun, startTargetStandin, type TargetStandin } from "@pimentospring/standin/direct/targetStandin";
import { type Proxy, startProxy } from "../faults/proxy.js";
import type { TargetDeparture } from "../promises/records.js";

/** A place for a target: an address, and one target after the other at it. */
export interface TargetHost {
    readonly proxy: Proxy;
    readonly dataCentre: string;
    currentTarget(): TargetStandin;
    service(): string;
    /** The target says that it leaves; a while later it ends and another takes its place. */
    replace(service: string, graceMs: number): Promise<void>;
    /** The target ends at once, without a word; the store lists it until its record lapses. */
    crash(lapseMs: number): Promise<void>;
}

export interface TargetHostOptions {
    readonly host: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly operator: Operator;
    readonly departures: TargetDeparture[];
    /** All runs of all targets. */
    readonly collectRuns: (runs: readonly RequestRun[]) => void;
    readonly nextId: () => string;
    readonly sleep: (ms: number) => Promise<void>;
}

export const slotsPerTarget = 4;
const workMs = 20;
/** A target that ended leaves its address unused for this long. */
const reuseAfterMs = 300;

export async function createTargetHost(options: TargetHostOptions): Promise<TargetHost> {
    const { operator, sleep } = options;
    const start = async (service: string): Promise<TargetStandin> => {
        const started = await startTargetStandin({ host: options.host, id: options.nextId(), service, slots: slotsPerTarget });
        started.setWorkMs(workMs);
        options.collectRuns(started.runs);
        return started;
    };
    let service = options.service;
    let target = await start(service);
    const proxy = await startProxy(options.host, target.address);
    const announce = (isDraining: boolean): void =>
        operator.announce({
            id: target.id,
            service,
            address: proxy.address,
            dataCentre: options.dataCentre,
            slots: slotsPerTarget,
            isDraining,
            startedAt: Date.now(),
        });
    const left = (): void => {
        options.departures.push({ target: target.id, at: performance.now() });
    };
    const succeed = async (next: string): Promise<void> => {
        target.close();
        await sleep(reuseAfterMs);
        service = next;
        target = await start(service);
        proxy.setUpstream(target.address);
        announce(false);
    };
    announce(false);
    return {
        proxy,
        dataCentre: options.dataCentre,
        currentTarget: () => target,
        service: () => service,
        replace: async (next, graceMs) => {
            announce(true);
            left();
            await sleep(graceMs);
            operator.withdraw(target.id);
            await succeed(next);
        },
        crash: async lapseMs => {
            target.close();
            await sleep(lapseMs);
            operator.withdraw(target.id);
            await succeed(service);
        },
    };
}
