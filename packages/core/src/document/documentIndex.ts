/** Read-only index of a document: maps and tables, built once per revision. */
import { type DataCentreId, type RegionId, type ServiceId, toDataCentreId, toRegionId, toServiceId } from "../ids.js";
import { parsePrefix } from "../lookup/prefix.js";
import { createPrefixTable, type PrefixTable } from "../lookup/prefixTable.js";
import type { AcceptedDocument } from "./accepted.js";
import type { DataCentre, Document, RequestClass, Service, Shift, Target } from "./schema.js";

export interface DocumentIndex {
    readonly accepted: AcceptedDocument;
    readonly dataCentres: ReadonlyMap<DataCentreId, DataCentre>;
    readonly services: ReadonlyMap<ServiceId, Service>;
    /** Longest-prefix match of caller addresses; its values are indexes of `blockDataCentres`. */
    readonly callerBlocks: PrefixTable;
    readonly blockDataCentres: readonly DataCentreId[];
    readonly leavingEntries: ReadonlySet<string>;
    regionOf(dataCentre: DataCentreId): RegionId | undefined;
    targetsIn(service: ServiceId, dataCentre: DataCentreId): readonly Target[];
    /** Total slots of the service's targets in a region, without stopped targets. */
    regionSlots(service: ServiceId, region: RegionId): number;
    shiftsFrom(service: ServiceId, region: RegionId): readonly Shift[];
    /** Maximum number of entries alive at once in a region. */
    maxEntriesIn(region: RegionId): number;
    /** Maximum number of requests of a service in flight at a region's targets; undefined without a limit. */
    maxInFlightOf(service: ServiceId, region: RegionId): number | undefined;
}

export function createDocumentIndex(accepted: AcceptedDocument): DocumentIndex {
    const { document } = accepted;
    const regionByDataCentre = new Map<DataCentreId, RegionId>();
    const dataCentres = new Map<DataCentreId, DataCentre>();
    for (const region of document.regions) {
        for (const dataCentre of region.dataCentres) {
            regionByDataCentre.set(toDataCentreId(dataCentre.id), toRegionId(region.id));
            dataCentres.set(toDataCentreId(dataCentre.id), dataCentre);
        }
    }
    const targets = groupBy(document.targets, target => `${target.service} ${target.dataCentre}`);
    const blockDataCentres = [...dataCentres.keys()];
    const regionOf = (dataCentre: DataCentreId): RegionId | undefined => regionByDataCentre.get(dataCentre);
    return {
        accepted,
        dataCentres,
        services: new Map(document.services.map(service => [toServiceId(service.id), service])),
        callerBlocks: buildCallerBlocks(document, blockDataCentres),
        blockDataCentres,
        leavingEntries: new Set(document.leavingEntries),
        regionOf,
        targetsIn: (service, dataCentre) => targets.get(`${service} ${dataCentre}`) ?? [],
        regionSlots: (service, region) =>
            document.targets
                .filter(target => target.service === service && target.state !== "stopped")
                .filter(target => regionOf(toDataCentreId(target.dataCentre)) === region)
                .reduce((sum, target) => sum + target.slots, 0),
        shiftsFrom: (service, region) => document.shifts.filter(shift => shift.service === service && shift.from === region),
        maxEntriesIn: region =>
            document.regions.find(entry => entry.id === region)?.dataCentres
                .reduce((sum, dataCentre) => sum + dataCentre.entries, 0) ?? 0,
        maxInFlightOf: (service, region) =>
            document.limits.find(limit => limit.service === service && limit.region === region)?.maxInFlight,
    };
}

/** Returns the request class with the longest matching path prefix among those that accept the method. */
export function findRequestClass(service: Service, method: string, path: string): RequestClass | undefined {
    let best: RequestClass | undefined;
    for (const requestClass of service.classes) {
        const matches = (requestClass.methods as readonly string[]).includes(method) && path.startsWith(requestClass.pathPrefix);
        if (matches && (best === undefined || requestClass.pathPrefix.length > best.pathPrefix.length)) {
            best = requestClass;
        }
    }
    return best;
}

function buildCallerBlocks(document: Document, dataCentres: readonly DataCentreId[]): PrefixTable {
    const indexes = new Map<string, number>(dataCentres.map((dataCentre, index) => [dataCentre, index]));
    return createPrefixTable(
        document.callerBlocks.map(block => ({ prefix: parsePrefix(block.prefix)!, value: indexes.get(block.dataCentre)! })),
    );
}

function groupBy<Item>(items: readonly Item[], keyOf: (item: Item) => string): Map<string, Item[]> {
    const groups = new Map<string, Item[]>();
    for (const item of items) {
        const key = keyOf(item);
        const group = groups.get(key);
        if (group === undefined) {
            groups.set(key, [item]);
        }
        else {
            group.push(item);
        }
    }
    return groups;
}
