/** Documents, entries and loads for simulations, at the size of the two users' deployments. */
import type { Document } from "@pimentospring/core/document/schema";
import { validateDocument } from "@pimentospring/core/document/validate";
import type { NetworkDelays } from "./simulation.js";

/** One class of requests in a deployment's load. */
export interface LoadClass {
    readonly name: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly isAtMostOnce: boolean;
    readonly meanMs: number;
    readonly deadlineMs: number;
    readonly weight: number;
}

export interface FakeDeployment {
    readonly document: Document;
    readonly entries: Readonly<Record<string, number>>;
    readonly delays: NetworkDelays;
    readonly callers: readonly string[];
    readonly loadClasses: readonly LoadClass[];
}

interface ServiceSize {
    readonly id: string;
    readonly slots: number;
    /** Number of targets in each data centre, in the order of the data centres. */
    readonly targets: readonly number[];
    readonly classes: readonly Record<string, unknown>[];
}

interface DeploymentSize {
    readonly regions: Readonly<Record<string, readonly string[]>>;
    readonly entries: Readonly<Record<string, number>>;
    readonly services: readonly ServiceSize[];
    readonly mbitPerSecond: number;
}

const shortClass = (id: string, methods: readonly string[], pathPrefix: string, runs: string, deadlineMs: number) => ({
    id,
    methods,
    pathPrefix,
    runs,
    lane: "short",
    deadlineMs,
});

/** Karoo: tokens and trails in cpt, jhb and dbn. */
export function karoo(): FakeDeployment {
    const document = toDocument({
        regions: { cpt: ["cpt-a", "cpt-b"], jhb: ["jhb-a", "jhb-b"], dbn: ["dbn-a", "dbn-b"] },
        entries: { "cpt-a": 2, "cpt-b": 2, "jhb-a": 2, "jhb-b": 2, "dbn-a": 2, "dbn-b": 2 },
        services: [
            {
                id: "tokens",
                slots: 4,
                targets: [2, 2, 2, 2, 2, 2],
                classes: [
                    shortClass("lookup", ["GET"], "/tokens", "idempotent", 2_000),
                    shortClass("redeem", ["POST"], "/redeem", "atMostOnce", 5_000),
                ],
            },
            {
                id: "trails",
                slots: 4,
                targets: [3, 3, 2, 2, 2, 2],
                classes: [
                    shortClass("browse", ["GET"], "/trails", "idempotent", 3_000),
                    shortClass("book", ["POST"], "/bookings", "atMostOnce", 5_000),
                    {
                        id: "report",
                        methods: ["GET"],
                        pathPrefix: "/reports",
                        runs: "idempotent",
                        lane: "deferrable",
                        deadlineMs: 60_000,
                    },
                ],
            },
        ],
        mbitPerSecond: 4_000,
    });
    return {
        document,
        entries: { "cpt-a": 2, "cpt-b": 2, "jhb-a": 2, "jhb-b": 2, "dbn-a": 1, "dbn-b": 1 },
        delays: { withinRegionMs: 1, betweenRegionsMs: 35, toCallerMs: 3 },
        callers: ["10.1.0.9", "10.1.128.9", "10.2.0.9", "10.2.128.9", "10.3.0.9", "10.3.128.9"],
        loadClasses: [
            {
                name: "lookup",
                service: "tokens",
                method: "GET",
                path: "/tokens",
                isAtMostOnce: false,
                meanMs: 10,
                deadlineMs: 2_000,
                weight: 8,
            },
            {
                name: "redeem",
                service: "tokens",
                method: "POST",
                path: "/redeem",
                isAtMostOnce: true,
                meanMs: 10,
                deadlineMs: 5_000,
                weight: 2,
            },
            {
                name: "browse",
                service: "trails",
                method: "GET",
                path: "/trails",
                isAtMostOnce: false,
                meanMs: 15,
                deadlineMs: 3_000,
                weight: 5,
            },
            {
                name: "book",
                service: "trails",
                method: "POST",
                path: "/bookings",
                isAtMostOnce: true,
                meanMs: 15,
                deadlineMs: 5_000,
                weight: 1,
            },
            {
                name: "report",
                service: "trails",
                method: "GET",
                path: "/reports",
                isAtMostOnce: false,
                meanMs: 200,
                deadlineMs: 60_000,
                weight: 0.1,
            },
        ],
    };
}

/** Sikasem: shop and grower-desk in accra, kumasi and tamale. */
export function sikasem(): FakeDeployment {
    const document = toDocument({
        regions: { accra: ["accra-a", "accra-b"], kumasi: ["kumasi-a", "kumasi-b"], tamale: ["tamale-a", "tamale-b"] },
        entries: { "accra-a": 2, "accra-b": 2, "kumasi-a": 2, "kumasi-b": 2, "tamale-a": 2, "tamale-b": 2 },
        services: [
            {
                id: "shop",
                slots: 8,
                targets: [3, 3, 2, 2, 2, 2],
                classes: [
                    shortClass("browse", ["GET"], "/stock", "idempotent", 3_000),
                    shortClass("order", ["POST"], "/orders", "atMostOnce", 8_000),
                    shortClass("deposit", ["POST"], "/deposits", "atMostOnce", 8_000),
                ],
            },
            {
                id: "grower-desk",
                slots: 7,
                targets: [3, 3, 3, 3, 2, 2],
                classes: [
                    {
                        id: "guide",
                        methods: ["GET"],
                        pathPrefix: "/guides",
                        runs: "idempotent",
                        lane: "long",
                        deadlineMs: 60_000,
                    },
                    {
                        id: "schedule",
                        methods: ["GET"],
                        pathPrefix: "/schedules",
                        runs: "idempotent",
                        lane: "deferrable",
                        deadlineMs: 60_000,
                    },
                ],
            },
        ],
        mbitPerSecond: 280,
    });
    return {
        document,
        entries: { "accra-a": 2, "accra-b": 2, "kumasi-a": 1, "kumasi-b": 1, "tamale-a": 1, "tamale-b": 1 },
        delays: { withinRegionMs: 0.5, betweenRegionsMs: 35, toCallerMs: 1 },
        callers: ["10.1.0.9", "10.1.128.9", "10.2.0.9", "10.2.128.9", "10.3.0.9", "10.3.128.9"],
        loadClasses: [
            {
                name: "browse",
                service: "shop",
                method: "GET",
                path: "/stock",
                isAtMostOnce: false,
                meanMs: 12,
                deadlineMs: 3_000,
                weight: 8,
            },
            {
                name: "order",
                service: "shop",
                method: "POST",
                path: "/orders",
                isAtMostOnce: true,
                meanMs: 20,
                deadlineMs: 8_000,
                weight: 1,
            },
            {
                name: "deposit",
                service: "shop",
                method: "POST",
                path: "/deposits",
                isAtMostOnce: true,
                meanMs: 20,
                deadlineMs: 8_000,
                weight: 1,
            },
            {
                name: "guide",
                service: "grower-desk",
                method: "GET",
                path: "/guides",
                isAtMostOnce: false,
                meanMs: 400,
                deadlineMs: 60_000,
                weight: 0.2,
            },
            {
                name: "schedule",
                service: "grower-desk",
                method: "GET",
                path: "/schedules",
                isAtMostOnce: false,
                meanMs: 40,
                deadlineMs: 60_000,
                weight: 1,
            },
        ],
    };
}

/** The smallest deployment of `playground/`: tokens alone, two data centres with two entries and two targets each. */
export function small(): FakeDeployment {
    const document = toDocument({
        regions: { cpt: ["cpt-a"], jhb: ["jhb-a"] },
        entries: { "cpt-a": 2, "jhb-a": 2 },
        services: [
            {
                id: "tokens",
                slots: 4,
                targets: [2, 2],
                classes: [
                    shortClass("lookup", ["GET"], "/tokens", "idempotent", 2_000),
                    shortClass("redeem", ["POST"], "/redeem", "atMostOnce", 5_000),
                ],
            },
        ],
        mbitPerSecond: 4_000,
    });
    const load = { service: "tokens", meanMs: 8 };
    return {
        document,
        entries: { "cpt-a": 2, "jhb-a": 2 },
        delays: { withinRegionMs: 0.1, betweenRegionsMs: 0.1, toCallerMs: 0.1 },
        callers: ["10.1.0.9", "10.1.128.9"],
        loadClasses: [
            { ...load, name: "lookup", method: "GET", path: "/tokens", isAtMostOnce: false, deadlineMs: 2_000, weight: 10 },
            { ...load, name: "redeem", method: "POST", path: "/redeem", isAtMostOnce: true, deadlineMs: 5_000, weight: 3 },
        ],
    };
}

function toDocument(size: DeploymentSize): Document {
    const dataCentres = Object.values(size.regions).flat();
    const regions = Object.keys(size.regions);
    const raw = {
        schema: 1,
        regions: regions.map(id => ({
            id,
            dataCentres: size.regions[id]!.map(dataCentre => ({ id: dataCentre, entries: size.entries[dataCentre] })),
        })),
        services: size.services.map(service => ({ id: service.id, regions, classes: service.classes })),
        targets: size.services.flatMap((service, at) => createTargets(service, at, dataCentres)),
        callerBlocks: dataCentres.map((dataCentre, at) => ({
            prefix: `10.${(at >> 1) + 1}.${at % 2 === 0 ? 0 : 128}.0/17`,
            dataCentre,
        })),
        links: regions.flatMap((from, at) =>
            regions.slice(at + 1).map(to => ({ between: [from, to], mbitPerSecond: size.mbitPerSecond }))
        ),
    };
    return validateDocument(raw).unwrapOrElse(faults => {
        throw new Error(JSON.stringify(faults));
    });
}

function createTargets(service: ServiceSize, serviceIndex: number, dataCentres: readonly string[]) {
    let number = 0;
    return dataCentres.flatMap((dataCentre, at) =>
        Array.from({ length: service.targets[at]! }, () => ({
            id: `${service.id}-${++number}`,
            service: service.id,
            dataCentre,
            address: `10.${100 + serviceIndex}.${at}.${number}:9000`,
            slots: service.slots,
        }))
    );
}
