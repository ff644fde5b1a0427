/** The fakes around the entries: network, targets, store, list of instances. Everything moves by one virtual timer. */
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

/** One-way delays in milliseconds. */
export interface NetworkDelays {
    readonly withinRegionMs: number;
    readonly betweenRegionsMs: number;
    readonly toCallerMs: number;
}

export interface SimulationOptions {
    readonly document: Document;
    /** Entries of each data centre. */
    readonly entries: Readonly<Record<string, number>>;
    readonly delays: NetworkDelays;
    readonly seed: number;
    readonly policy?: Policy;
    /** Time by which the list of instances lags, in milliseconds. */
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
    /** Whether messages between two places get through; a place is an entry's address or a data centre. */
    isPartitioned(a: FakeEntry, b: FakeEntry): boolean;
    isStoreReachableFrom(entry: FakeEntry): boolean;
    /** Whether the store answers operators. */
    isStoreAvailable(): boolean;
    storedDocument(): string | undefined;
    listedInstances(): readonly ListedInstance[];
    /** Changes the document as an operator would; returns the revision. */
    editDocument(edit: (document: Document) => Document): number;
    startEntry(address: Address, dataCentre: DataCentreId): FakeEntry;
    killEntry(address: Address): void;
    /** Cuts two sides of addresses from each other; returns what heals this cut. */
    partition(left: readonly Address[], right: readonly Address[]): () => void;
    /** Cuts entries off from the platform. */
    partitionFromStore(addresses: readonly Address[]): void;
    setStoreAvailable(isUp: boolean): void;
    healAll(): void;
}

/** Time in which a watch of the store tells of a change, in milliseconds. */
const watchMs = 5;

export function createSimulation(options: SimulationOptions): Simulation {
    const timer = createVirtualTimer();
    const random = createRandom(options.seed);
    const log = createRunLog();
    const entries = new Map<Address, FakeEntry>();
    let document = options.document;
    let revision = 0;
    let stored: string | undefined;
    let list: readonly ListedInstance[] = [];
    let isStoreUp = true;
    let cuts: { readonly left: ReadonlySet<Address>; readonly right: ReadonlySet<Address>; }[] = [];
    let offStore = new Set<Address>();

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
    const updateList = (): void => {
        const rows = [...entries.values()].filter(entry => !entry.isDead())
            .map(entry => ({ address: entry.address, dataCentre: entry.dataCentre, isLeaving: false }));
        timer.after(options.listLagMs ?? 2_000, () => {
            list = rows;
        });
    };
    const startEntry = (address: Address, dataCentre: DataCentreId): FakeEntry => {
        const entry = createFakeEntry(world, address, dataCentre);
        entries.set(address, entry);
        updateList();
        return entry;
    };
    const apply = (edit: (current: Document) => Document): number => {
        document = edit(document);
        revision++;
        stored = formatAccepted({
            revision: toRevision(revision),
            changeId: toChangeId(`change-${revision}`),
            by: "test",
            at: 0,
            document,
        });
        log.append({ kind: "accepted", at: timer.now(), revision });
        timer.after(watchMs, () => entries.forEach(entry => entry.onStoreChanged()));
        return revision;
    };
    const world: Simulation = {
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
            cuts.some(({ left, right }) =>
                (left.has(a.address) && right.has(b.address)) || (left.has(b.address) && right.has(a.address))
            ),
        isStoreReachableFrom: entry => isStoreUp && !offStore.has(entry.address),
        isStoreAvailable: () => isStoreUp,
        storedDocument: () => stored,
        listedInstances: () => list,
        editDocument: apply,
        startEntry,
        killEntry: address => {
            entries.get(address)?.kill();
            updateList();
        },
        partition: (left, right) => {
            const made = { left: new Set(left), right: new Set(right) };
            cuts.push(made);
            return () => {
                cuts = cuts.filter(entry => entry !== made);
            };
        },
        partitionFromStore: addresses => {
            offStore = new Set(addresses);
        },
        setStoreAvailable: isUp => {
            isStoreUp = isUp;
        },
        healAll: () => {
            cuts = [];
            offStore = new Set();
            isStoreUp = true;
        },
    };
    apply(current => current);
    Object.entries(options.entries).forEach(([dataCentre, count], place) => {
        for (let number = 0; number < count; number++) {
            startEntry(toAddress(`10.0.${place + 1}.${number + 1}:7000`), toDataCentreId(dataCentre));
        }
    });
    list = [...entries.values()].map(entry => ({ address: entry.address, dataCentre: entry.dataCentre, isLeaving: false }));
    return world;
}
