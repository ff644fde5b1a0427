/** Targets behind proxies: they are announced, drain, crash, and are replaced by new targets at the same address. */
import type { Operator } from "@pimentospring/standin/direct/operatorStandin";
import type { AnswerShape } from "@pimentospring/standin/direct/targetAnswer";
import {
    type RequestRun,
    startTargetStandin,
    type TargetStandin,
    type TurnedAway,
} from "@pimentospring/standin/direct/targetStandin";
import { type Proxy, startProxy } from "../faults/proxy.js";
import type { TargetDeparture, TargetNoticeSpan } from "../promises/records.js";

/** An address at which targets run one after the other. */
export interface TargetHost {
    readonly proxy: Proxy;
    readonly dataCentre: string;
    currentTarget(): TargetStandin;
    service(): string;
    /** Announces that the target drains, ends it after `graceMs`, and starts a new target at the same address. */
    replace(service: string, graceMs: number): Promise<void>;
    /** Makes the target say in its responses that it leaves; the store lists it as ready until it ends after `graceMs`. */
    sayLeaving(graceMs: number): Promise<void>;
    /** Makes the target turn requests away with the time that is left of the pause. */
    pauseFor(durationMs: number): void;
    /** Ends the target without notice; the store lists it for another `lapseMs`, then a new target starts. */
    crash(lapseMs: number): Promise<void>;
}

export interface TargetHostOptions {
    readonly host: string;
    readonly dataCentre: string;
    readonly service: string;
    readonly operator: Operator;
    readonly departures: TargetDeparture[];
    readonly notices: TargetNoticeSpan[];
    /** Times at which requests crashed targets. */
    readonly crashes: number[];
    /** Called with the list of runs of each target that starts; the list grows as the target runs requests. */
    readonly collectRuns: (runs: readonly RequestRun[]) => void;
    readonly collectTurnedAway: (turnedAway: readonly TurnedAway[]) => void;
    /** Shape of each answer of the targets. */
    readonly drawAnswer: () => AnswerShape;
    readonly nextId: () => string;
    readonly sleep: (ms: number) => Promise<void>;
}

export const slotsPerTarget = 4;
const targetWorkMs = 20;
/** Time for which the store lists a target that a request crashed. */
const crashLapseMs = 1_500;
/** Time for which the address is unused after a target has ended. */
const addressReuseDelayMs = 300;

export async function createTargetHost(options: TargetHostOptions): Promise<TargetHost> {
    const { operator, sleep } = options;
    /** Start of the current target, in Unix milliseconds; part of each of its records. */
    let startedAt = 0;
    const start = async (service: string): Promise<TargetStandin> => {
        const started = await startTargetStandin({
            host: options.host,
            id: options.nextId(),
            service,
            slots: slotsPerTarget,
            drawAnswer: options.drawAnswer,
            onCrash: () => {
                options.crashes.push(performance.now());
                void exclusively(() => endSuddenly(crashLapseMs));
            },
        });
        started.setWorkMs(targetWorkMs);
        options.collectRuns(started.runs);
        options.collectTurnedAway(started.turnedAway);
        startedAt = Date.now();
        return started;
    };
    let isReplacing = false;
    /** A target that crashes while it is replaced has its successor already on the way. */
    const exclusively = async (act: () => Promise<void>): Promise<void> => {
        if (isReplacing) {
            return;
        }
        isReplacing = true;
        await act();
        isReplacing = false;
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
            startedAt,
        });
    const recordDeparture = (): void => {
        options.departures.push({ target: target.id, at: performance.now() });
    };
    const startSuccessor = async (next: string): Promise<void> => {
        target.close();
        await sleep(addressReuseDelayMs);
        service = next;
        target = await start(service);
        proxy.setUpstream(target.address);
        announce(false);
    };
    const endSuddenly = async (lapseMs: number): Promise<void> => {
        target.close();
        await sleep(lapseMs);
        operator.withdraw(target.id);
        await startSuccessor(service);
    };
    announce(false);
    return {
        proxy,
        dataCentre: options.dataCentre,
        currentTarget: () => target,
        service: () => service,
        replace: (next, graceMs) =>
            exclusively(async () => {
                announce(true);
                recordDeparture();
                await sleep(graceMs);
                operator.withdraw(target.id);
                await startSuccessor(next);
            }),
        sayLeaving: graceMs =>
            exclusively(async () => {
                options.notices.push({ kind: "leaving", target: target.id, at: performance.now(), until: Infinity });
                target.leave();
                await sleep(graceMs);
                operator.withdraw(target.id);
                await startSuccessor(service);
            }),
        pauseFor: durationMs => {
            const at = performance.now();
            options.notices.push({ kind: "pause", target: target.id, at, until: at + durationMs });
            target.pauseFor(durationMs);
        },
        crash: lapseMs => exclusively(() => endSuddenly(lapseMs)),
    };
}
