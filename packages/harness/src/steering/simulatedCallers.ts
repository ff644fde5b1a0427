/**
 * Callers of the steering simulation. They choose an entry for each request, and retry a refused request once, after the
 * advised delay, as the users' callers do.
 */
import { type DataCentreId, type Fingerprint, type RegionId, toDataCentreId, toRequestId } from "@pimentospring/core/ids";
import type { Random } from "@pimentospring/core/random/random";
import { firstPlace } from "@pimentospring/core/steering/connectionPlace";
import type { FinalResponse } from "@pimentospring/core/steering/job";
import type { RequestDispatcher } from "@pimentospring/core/steering/requestDispatcher";
import type { Timer } from "@pimentospring/core/time/timer";
import { regionOf } from "./network.js";
import type { ClassOutcome, SteeringSimulationOptions, TrafficClass } from "./simulationOptions.js";

export const simulatedHost = "world.example";

export interface SimulatedCallers {
    /** Starts the load. */
    start(): void;
    /** Ends the load; outstanding requests go on. */
    stop(): void;
    /** From now on this fraction of a data centre's callers sends its requests to another data centre. */
    move(from: string, to: string, fraction: number): void;
    /** Service time of a request that has no final response yet, for an object that is not cached. */
    workMsOf(request: string): number;
    classOutcome(name: string): ClassOutcome;
    regionOutcome(region: RegionId): ClassOutcome;
    /** Of the requests first sent in each second since the start. */
    secondOutcomes(): readonly ClassOutcome[];
}

export interface SimulatedCallersOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly simulation: SteeringSimulationOptions;
    /** Dispatchers of the entries in a data centre. */
    readonly dispatchersIn: (dataCentre: DataCentreId) => readonly RequestDispatcher<string>[];
}

interface Caller {
    readonly trafficClass: TrafficClass;
    readonly object: string;
    readonly firstSentAt: number;
    readonly dataCentre: DataCentreId;
    readonly dispatcher: RequestDispatcher<string>;
    readonly workMs: number;
    readonly id: string;
}

/** Relative standard deviation of the service time, and the stragglers, which take several times as long. */
const workDeviationRatio = 0.15;
const straggler = { fraction: 0.03, factor: 7 };
/** A caller waits for the advised retry delay, but at most for this fraction of the remaining time. */
const maxRetryDelayFraction = 1 / 3;

const noOutcome = (): ClassOutcome => ({ requests: 0, inTime: 0, late: 0, refused: 0, failed: 0 });

export function createSimulatedCallers(options: SimulatedCallersOptions): SimulatedCallers {
    const { timer, random, simulation } = options;
    const dataCentres = Object.keys(simulation.entryCounts);
    const regions = [...new Set(dataCentres.map(regionOf))];
    const classOutcomes = new Map(simulation.classes.map(({ name }) => [name, noOutcome()]));
    const regionOutcomes = new Map(dataCentres.map(name => [regionOf(name), noOutcome()]));
    const secondOutcomes: ClassOutcome[] = [];
    const workMsByRequest = new Map<string, number>();
    const startedAt = timer.now();
    const moves = new Map<DataCentreId, { readonly to: DataCentreId; readonly fraction: number; }>();
    /** Index of the next object, by class and region. */
    const nextIndices = new Map<string, number>();
    let requestCount = 0;
    let isLoadRunning = true;

    const count = ({ trafficClass, firstSentAt, dataCentre }: Caller, event: keyof ClassOutcome): void => {
        (secondOutcomes[Math.floor((firstSentAt - startedAt) / 1_000)] ??= noOutcome())[event]++;
        if (firstSentAt >= (simulation.countedFromMs ?? 0)) {
            classOutcomes.get(trafficClass.name)![event]++;
            regionOutcomes.get(regionOf(dataCentre))![event]++;
        }
    };
    const anyDispatcherIn = (dataCentre: DataCentreId): RequestDispatcher<string> => {
        const dispatchers = options.dispatchersIn(dataCentre);
        return dispatchers[random.below(dispatchers.length)]!;
    };
    const sendRequest = (caller: Caller, isRetry: boolean): void => {
        const deadlineAt = caller.firstSentAt + caller.trafficClass.deadlineMs;
        const id = toRequestId(`r${++requestCount}`);
        workMsByRequest.set(id, caller.workMs);
        const finish = (ending: FinalResponse<string>): void => {
            workMsByRequest.delete(id);
            if (ending.kind === "answer") {
                count(caller, timer.now() - caller.firstSentAt <= caller.trafficClass.objectiveMs ? "inTime" : "late");
                return;
            }
            const retryAfterMs = ending.retryAfterMs;
            if (isRetry || retryAfterMs === undefined) {
                count(caller, ending.result.outcome === "notRun" ? "refused" : "failed");
                return;
            }
            const waitMs = Math.min(retryAfterMs, maxRetryDelayFraction * (deadlineAt - timer.now()));
            timer.after(waitMs, () => sendRequest({ ...caller, dispatcher: anyDispatcherIn(caller.dataCentre) }, true));
        };
        caller.dispatcher.submit({
            id,
            host: simulatedHost,
            path: `/${caller.trafficClass.name}/${caller.object}`,
            objectId: caller.object,
            keyDigest: undefined,
            arrivedAt: timer.now(),
            deadlineAt,
            bodyBytes: 0,
            place: firstPlace,
            fingerprint: () => caller.id as Fingerprint,
            describeFingerprint: () => "",
            callerAddress: caller.id,
        }, finish);
    };
    const drawWorkMs = (trafficClass: TrafficClass): number => {
        const spread = 1 + workDeviationRatio * (2 * random.next() - 1) * Math.sqrt(3);
        return trafficClass.workMs * spread * (random.next() < straggler.fraction ? straggler.factor : 1);
    };
    const nextIndex = (trafficClass: TrafficClass, region: RegionId): number => {
        const key = `${trafficClass.name} ${region}`;
        const index = nextIndices.get(key) ?? 0;
        nextIndices.set(key, (index + 1) % trafficClass.objectCount);
        return index;
    };
    const drawObject = (trafficClass: TrafficClass, dataCentre: DataCentreId): string => {
        const { objectCount, skew = 0, popularFraction = 0 } = trafficClass;
        if (trafficClass.areObjectsCyclic === true) {
            return `${regionOf(dataCentre)}${nextIndex(trafficClass, regionOf(dataCentre))}`;
        }
        if (popularFraction > 0 && random.next() < popularFraction) {
            return "popular";
        }
        const index = skew === 0 ? random.below(objectCount) : Math.floor(objectCount * random.next() ** (1 / (1 - skew)));
        return `${regionOf(dataCentre)}${index}`;
    };
    /** Current demand of a region as a multiple of its mean. */
    const demandFactor = (dataCentre: DataCentreId): number => {
        const { waves } = simulation;
        if (waves === undefined) {
            return 1;
        }
        const phase = (timer.now() - startedAt) / waves.periodMs + waves.phaseStep * regions.indexOf(regionOf(dataCentre));
        return 1 + waves.swing * Math.sin(2 * Math.PI * phase);
    };
    /** Data centre to which a caller that is usually served by the given one sends its requests. */
    const currentDataCentre = (usual: DataCentreId): DataCentreId => {
        const move = moves.get(usual);
        return move !== undefined && random.next() < move.fraction ? move.to : usual;
    };
    const startCaller = (trafficClass: TrafficClass, usualDataCentre: DataCentreId): void => {
        const dataCentre = currentDataCentre(usualDataCentre);
        const caller: Caller = {
            trafficClass,
            object: drawObject(trafficClass, dataCentre),
            firstSentAt: timer.now(),
            dataCentre,
            dispatcher: anyDispatcherIn(dataCentre),
            workMs: drawWorkMs(trafficClass),
            id: `c${requestCount}`,
        };
        count(caller, "requests");
        sendRequest(caller, false);
    };
    const scheduleArrivals = (trafficClass: TrafficClass, dataCentre: DataCentreId): void => {
        timer.after(random.exponential(1_000 / (demandFactor(dataCentre) * trafficClass.arrivalsPerSecond)), () => {
            if (isLoadRunning) {
                startCaller(trafficClass, dataCentre);
                scheduleArrivals(trafficClass, dataCentre);
            }
        });
    };
    return {
        start: () =>
            dataCentres.forEach(name =>
                simulation.classes.forEach(trafficClass => scheduleArrivals(trafficClass, toDataCentreId(name)))
            ),
        stop: () => {
            isLoadRunning = false;
        },
        move: (from, to, fraction) => void moves.set(toDataCentreId(from), { to: toDataCentreId(to), fraction }),
        workMsOf: request => workMsByRequest.get(request)!,
        classOutcome: name => classOutcomes.get(name)!,
        secondOutcomes: () => secondOutcomes,
        regionOutcome: region => regionOutcomes.get(region)!,
    };
}
