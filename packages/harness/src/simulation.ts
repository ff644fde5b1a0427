/** Simulated environment of the entries: network, targets, store and instance list, all driven by one virtual timer. */
import { formatAccepted } from "@pimentospring/core/document/accepted";
import type { Document } from "@pimentospring/core/document/schema";
import {
    type Address,
    type DataCentreId,
    type RegionId,
    type TargetId,
    toAddress,
    toChangeId,
    toDataCentreId,
    toRegionId,
    toRevision,
} from "@pimentospring/core/ids";
import type { Policy } from "@pimentospring/core/policy/policy";
import { createRandom, type Random } from "@pimentospring/core/random/random";
import type { ListedInstance } from "@pimentospring/core/requests/events";
import { createVirtualTimer, type VirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { createFakeEntry, type FakeEntry } from "./fakeEntry.js";
import { createFakeTarget, type FakeTarget } from "./fakeTarget.js";
import { createRunLog, type RunLog } from "./runLog.js";

/** One-way network delays. */
export interface NetworkDelays {
    readonly withinRegionMs: number;
    readonly betweenRegionsMs: number;
    readonly toCallerMs: number;
}

export interface SimulationOptions {
    readonly document: Document;
    /** Number of entries in each data centre. */
    readonly entries: Readonly<Record<string, number>>;
    readonly delays: NetworkDelays;
    readonly seed: number;
    readonly policy?: Policy;
    /** Delay until a change shows in the instance list. */
    readonly listLagMs?: number;
}

export interface Simulation {
    readonly timer: VirtualTimer;
    readonly random: Random;
    readonly log: RunLog;
    readonly delays: NetworkDelays;
    readonly policy: Policy | undefined;
    document(): Document;
    entries(): readonly FakeEntry[];
    entryAt(address: Address): FakeEntry | undefined;
    target(id: TargetId): FakeTarget;
    targets(): readonly FakeTarget[];
    targetDataCentre(id: TargetId): DataCentreId;
    regionOf(dataCentre: DataCentreId): RegionId;
    networkDelayMs(a: DataCentreId, b: DataCentreId): number;
    /** Whether a network partition separates the two entries. */
    isPartitioned(a: FakeEntry, b: FakeEntry): boolean;
    isStoreReachableFrom(entry: FakeEntry): boolean;
    /** Whether the store is available to operators. */
    isStoreAvailable(): boolean;
    storedDocument(): string | undefined;
    listedInstances(): readonly ListedInstance[];
    /** Changes the document as an operator would; returns the new revision. */
    editDocument(edit: (document: Document) => Document): number;
    startEntry(address: Address, dataCentre: DataCentreId): FakeEntry;
    killEntry(address: Address): void;
    /** Partitions two groups of addresses from each other; the returned function heals this partition. */
    partition(left: readonly Address[], right: readonly Address[]): () => void;
    /** Cuts exactly these entries off from the store. */
    partitionFromStore(addresses: readonly Address[]): void;
    setStoreAvailable(isAvailable: boolean): void;
    healAll(): void;
}

/** Delay of a notification from a store watch. */
const watchDelayMs = 5;

export function createSimulation(options: SimulationOptions): Simulation {
    const timer = createVirtualTimer();
    const random = createRandom(options.seed);
    const log = createRunLog();
    const entries = new Map<Address, FakeEntry>();
    let document = options.document;
    let revision = 0;
    let storedDocument: string | undefined;
    let listedInstances: readonly ListedInstance[] = [];
    let isStoreAvailable = true;
    let partitions: { readonly left: ReadonlySet<Address>; readonly right: ReadonlySet<Address>; }[] = [];
    let storePartitioned = new Set<Address>();

    const regions = new Map(
        document.regions.flatMap(region =>
            region.dataCentres.map(dataCentre => [toDataCentreId(dataCentre.id), toRegionId(region.id)] as const)
        ),
    );
    const targets = new Map(document.targets.map(target => {
        const fake = createFakeTarget(target, timer, random, log);
        return [fake.id, fake] as const;
    }));
    const regionOf = (dataCentre: DataCentreId): RegionId => regions.get(dataCentre)!;
    const updateInstanceList = (): void => {
        const rows = [...entries.values()].filter(entry => !entry.isDead())
            .map(entry => ({ address: entry.address, dataCentre: entry.dataCentre, isLeaving: false }));
        timer.after(options.listLagMs ?? 2_000, () => {
            listedInstances = rows;
        });
    };
    const startEntry = (address: Address, dataCentre: DataCentreId): FakeEntry => {
        const entry = createFakeEntry(simulation, address, dataCentre);
        entries.set(address, entry);
        updateInstanceList();
        return entry;
    };
    const editDocument = (edit: (current: Document) => Document): number => {
        document = edit(document);
        revision++;
        storedDocument = formatAccepted({
            revision: toRevision(revision),
            changeId: toChangeId(`change-${revision}`),
            by: "test",
            at: 0,
            document,
        });
        log.append({ kind: "accepted", at: timer.now(), revision });
        timer.after(watchDelayMs, () => entries.forEach(entry => entry.onStoreChanged()));
        return revision;
    };
    const simulation: Simulation = {
        timer,
        random,
        log,
        delays: options.delays,
        policy: options.policy,
        document: () => document,
        entries: () => [...entries.values()],
        entryAt: address => entries.get(address),
        target: id => targets.get(id)!,
        targets: () => [...targets.values()],
        targetDataCentre: id => toDataCentreId(document.targets.find(target => target.id === id)!.dataCentre),
        regionOf,
        networkDelayMs: (a, b) => {
            const base = regionOf(a) === regionOf(b) ? options.delays.withinRegionMs : options.delays.betweenRegionsMs;
            return base * (1 + random.next() * 0.1);
        },
        isPartitioned: (a, b) =>
            partitions.some(({ left, right }) =>
                (left.has(a.address) && right.has(b.address)) || (left.has(b.address) && right.has(a.address))
            ),
        isStoreReachableFrom: entry => isStoreAvailable && !storePartitioned.has(entry.address),
        isStoreAvailable: () => isStoreAvailable,
        storedDocument: () => storedDocument,
        listedInstances: () => listedInstances,
        editDocument,
        startEntry,
        killEntry: address => {
            entries.get(address)?.kill();
            updateInstanceList();
        },
        partition: (left, right) => {
            const added = { left: new Set(left), right: new Set(right) };
            partitions.push(added);
            return () => {
                partitions = partitions.filter(entry => entry !== added);
            };
        },
        partitionFromStore: addresses => {
            storePartitioned = new Set(addresses);
        },
        setStoreAvailable: isAvailable => {
            isStoreAvailable = isAvailable;
        },
        healAll: () => {
            partitions = [];
            storePartitioned = new Set();
            isStoreAvailable = true;
        },
    };
    editDocument(current => current);
    Object.entries(options.entries).forEach(([dataCentre, count], index) => {
        for (let number = 0; number < count; number++) {
            startEntry(toAddress(`10.0.${index + 1}.${number + 1}:7000`), toDataCentreId(dataCentre));
        }
    });
    listedInstances = [...entries.values()].map(entry => ({
        address: entry.address,
        dataCentre: entry.dataCentre,
        isLeaving: false,
    }));
    return simulation;
}
