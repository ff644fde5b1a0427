/** Validates a document and reports all faults at once. */
import { err, ok, type Result } from "true-myth/result";
import * as v from "valibot";
import { parsePrefix } from "../lookup/prefix.js";
import { type Document, documentSchema, maxDocumentBytes } from "./schema.js";

/** A validation fault of a document. */
export interface Fault {
    /** Path of the invalid value, such as `targets[3].slots`. */
    readonly path: string;
    /** Describes the fault and the allowed values. */
    readonly text: string;
}

/** Parses raw data into a document; the error lists every fault. */
export function validateDocument(raw: unknown): Result<Document, Fault[]> {
    const shape = v.safeParse(documentSchema, raw);
    if (!shape.success) {
        return err(shape.issues.map(issue => ({ path: v.getDotPath(issue) ?? "(document)", text: issue.message })));
    }
    const document = shape.output;
    const faults: Fault[] = [];
    const reportFault = (path: string, text: string): void => {
        faults.push({ path, text });
    };
    checkUnique(document, reportFault);
    checkReferences(document, reportFault);
    checkBlocks(document, reportFault);
    checkShiftsAndLinks(document, reportFault);
    const bytes = Buffer.byteLength(JSON.stringify(document));
    if (bytes > maxDocumentBytes) {
        reportFault("(document)", `is ${bytes} bytes; at most ${maxDocumentBytes} are allowed`);
    }
    return faults.length > 0 ? err(faults) : ok(document);
}

type ReportFault = (path: string, text: string) => void;

function checkUnique(document: Document, reportFault: ReportFault): void {
    const checkUniqueIds = (name: string, ids: readonly string[]): void => {
        const seen = new Set<string>();
        ids.forEach((id, index) => {
            if (seen.has(id)) {
                reportFault(`${name}[${index}]`, `"${id}" is a duplicate; each must be unique`);
            }
            seen.add(id);
        });
    };
    checkUniqueIds("regions", document.regions.map(region => region.id));
    checkUniqueIds("dataCentres", document.regions.flatMap(region => region.dataCentres.map(dataCentre => dataCentre.id)));
    checkUniqueIds("services", document.services.map(service => service.id));
    checkUniqueIds("targets", document.targets.map(target => target.id));
    checkUniqueIds("targets.address", document.targets.map(target => target.address));
    checkUniqueIds("callerBlocks", document.callerBlocks.map(block => block.prefix));
    checkUniqueIds("shifts", document.shifts.map(shift => shift.id));
    checkUniqueIds("limits", document.limits.map(limit => `${limit.service} in ${limit.region}`));
    document.services.forEach((service, index) => {
        checkUniqueIds(`services[${index}].classes`, service.classes.map(requestClass => requestClass.id));
    });
}

function checkReferences(document: Document, reportFault: ReportFault): void {
    const regions = new Set(document.regions.map(region => region.id));
    const dataCentres = new Set(document.regions.flatMap(region => region.dataCentres.map(dataCentre => dataCentre.id)));
    const services = new Set(document.services.map(service => service.id));
    const checkExists = (set: Set<string>, kind: string, path: string, id: string): void => {
        if (!set.has(id)) {
            reportFault(path, `names ${kind} "${id}", which is not defined in the document`);
        }
    };
    document.services.forEach((service, index) => {
        service.regions.forEach((region, position) =>
            checkExists(regions, "region", `services[${index}].regions[${position}]`, region)
        );
    });
    document.targets.forEach((target, index) => {
        checkExists(services, "service", `targets[${index}].service`, target.service);
        checkExists(dataCentres, "data centre", `targets[${index}].dataCentre`, target.dataCentre);
    });
    document.callerBlocks.forEach((block, index) => {
        checkExists(dataCentres, "data centre", `callerBlocks[${index}].dataCentre`, block.dataCentre);
    });
    document.shifts.forEach((shift, index) => {
        checkExists(services, "service", `shifts[${index}].service`, shift.service);
        checkExists(regions, "region", `shifts[${index}].from`, shift.from);
        checkExists(regions, "region", `shifts[${index}].to`, shift.to);
    });
    document.links.forEach((link, index) => {
        link.between.forEach((region, position) =>
            checkExists(regions, "region", `links[${index}].between[${position}]`, region)
        );
    });
    document.limits.forEach((limit, index) => {
        checkExists(services, "service", `limits[${index}].service`, limit.service);
        checkExists(regions, "region", `limits[${index}].region`, limit.region);
    });
}

function checkBlocks(document: Document, reportFault: ReportFault): void {
    document.callerBlocks.forEach((block, index) => {
        if (parsePrefix(block.prefix) === undefined) {
            reportFault(`callerBlocks[${index}].prefix`, `"${block.prefix}" is not an IPv4 block without host bits`);
        }
    });
}

function checkShiftsAndLinks(document: Document, reportFault: ReportFault): void {
    const shareByOrigin = new Map<string, number>();
    document.shifts.forEach((shift, index) => {
        if (shift.from === shift.to) {
            reportFault(`shifts[${index}].to`, `is "${shift.to}", the region that the shift moves traffic from`);
        }
        const key = `${shift.service} from ${shift.from}`;
        const sum = (shareByOrigin.get(key) ?? 0) + shift.share;
        shareByOrigin.set(key, sum);
        if (sum > 1) {
            reportFault(`shifts[${index}].share`, `raises the total share of ${key} to ${sum}; at most 1 is allowed`);
        }
    });
    const seenPairs = new Set<string>();
    document.links.forEach((link, index) => {
        const pair = [...link.between].sort().join(" and ");
        if (link.between[0] === link.between[1] || seenPairs.has(pair)) {
            reportFault(`links[${index}].between`, `${pair}: a link must connect two different regions and be unique`);
        }
        seenPairs.add(pair);
    });
}
