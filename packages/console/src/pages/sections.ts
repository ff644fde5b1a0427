/** Form definitions for the document's sections, and the conversion between form fields and items of the document. */
import type { Document } from "@pimentospring/core/document/schema";

export type SectionName = "services" | "regions" | "targets" | "callerBlocks" | "limits" | "shifts" | "links" | "leavingEntries";

/** Representation of a field in a form. */
export type FieldFormat =
    | { readonly kind: "text"; }
    | { readonly kind: "number"; }
    /** Words separated by white space. */
    | { readonly kind: "list"; }
    | { readonly kind: "choice"; readonly choices: readonly string[]; }
    /** One row a line, columns separated by white space. The suffix `#` marks a numeric column, `*` a comma-separated list. */
    | { readonly kind: "lines"; readonly columns: readonly string[]; };

export interface Field {
    readonly name: string;
    readonly label: string;
    readonly format: FieldFormat;
}

export interface Section {
    readonly name: SectionName;
    readonly title: string;
    readonly fields: readonly Field[];
    /** Names of the fields that together identify an item. */
    readonly keyFields: readonly string[];
}

const textField = (name: string, label: string): Field => ({ name, label, format: { kind: "text" } });
const numberField = (name: string, label: string): Field => ({ name, label, format: { kind: "number" } });
const listField = (name: string, label: string): Field => ({ name, label, format: { kind: "list" } });

export const sections: readonly Section[] = [
    {
        name: "targets",
        title: "Targets, drains and stops",
        keyFields: ["id"],
        fields: [
            textField("id", "Name"),
            { name: "state", label: "State", format: { kind: "choice", choices: ["serving", "draining", "stopped"] } },
            textField("service", "Service"),
            textField("dataCentre", "Data centre"),
            textField("address", "Address"),
            numberField("slots", "Slots"),
        ],
    },
    {
        name: "services",
        title: "Services",
        keyFields: ["id"],
        fields: [
            textField("id", "Name"),
            listField("regions", "Regions that may serve callers from other regions, in order of preference"),
            numberField("shortShare", "Share of slots reserved for short requests"),
            numberField("warmUpMs", "Warm-up time of a target in ms"),
            {
                name: "classes",
                label: "Classes: name, methods, path prefix, idempotent or atMostOnce, short, long or deferrable, deadline in ms",
                format: { kind: "lines", columns: ["id", "methods*", "pathPrefix", "runs", "lane", "deadlineMs#"] },
            },
        ],
    },
    {
        name: "regions",
        title: "Regions",
        keyFields: ["id"],
        fields: [
            textField("id", "Name"),
            {
                name: "dataCentres",
                label: "Data centres: name, maximum number of entries",
                format: { kind: "lines", columns: ["id", "entries#"] },
            },
        ],
    },
    {
        name: "callerBlocks",
        title: "Caller blocks",
        keyFields: ["prefix"],
        fields: [textField("prefix", "Block, such as 10.1.0.0/16"), textField("dataCentre", "Data centre")],
    },
    {
        name: "limits",
        title: "Limits",
        keyFields: ["service", "region"],
        fields: [
            textField("service", "Service"),
            textField("region", "Region"),
            numberField("maxInFlight", "Maximum requests in flight"),
        ],
    },
    {
        name: "shifts",
        title: "Shifts",
        keyFields: ["id"],
        fields: [
            textField("id", "Name"),
            textField("service", "Service"),
            textField("from", "From region"),
            textField("to", "To region"),
            numberField("share", "Share, 0 to 1"),
            numberField("capPerSecond", "Maximum requests per second"),
        ],
    },
    {
        name: "links",
        title: "Links",
        keyFields: ["between"],
        fields: [
            listField("between", "The two regions"),
            numberField("mbitPerSecond", "Bandwidth budget in each direction in Mbit/s"),
        ],
    },
    {
        name: "leavingEntries",
        title: "Leaving entries",
        keyFields: ["address"],
        fields: [textField("address", "Mesh address of the entry")],
    },
];

export type Item = Readonly<Record<string, unknown>>;

/** Items of a section. Leaving entries are plain addresses in the document and are wrapped here. */
export function itemsOf(document: Document, section: Section): Item[] {
    if (section.name === "leavingEntries") {
        return document.leavingEntries.map(address => ({ address }));
    }
    return [...document[section.name]] as unknown as Item[];
}

export const itemKey = (section: Section, item: Item): string => section.keyFields.map(name => String(item[name])).join(" ");

/** Replaces the item with `key`, or appends it if there is none; an undefined item removes the existing one. */
export function replaceItem(document: Document, section: Section, key: string, item: Item | undefined): unknown {
    const items = itemsOf(document, section);
    const index = items.findIndex(existing => itemKey(section, existing) === key);
    const next = item === undefined
        ? items.filter((_, other) => other !== index)
        : index < 0
        ? [...items, item]
        : items.map((existing, other) => other === index ? item : existing);
    return { ...document, [section.name]: section.name === "leavingEntries" ? next.map(entry => entry["address"]) : next };
}

/** Formats a value of the document as the text of a form field. */
export function formatField(format: FieldFormat, value: unknown): string {
    if (value === undefined) {
        return "";
    }
    switch (format.kind) {
        case "list":
            return (value as readonly string[]).join(" ");
        case "lines":
            return (value as readonly Item[]).map(row =>
                format.columns.map(column => formatCell(row[columnName(column)])).join(" ")
            )
                .join("\n");
        default:
            return String(value);
    }
}

/** Parses the text of a form field. Invalid values are left to the document's validation. */
export function parseField(format: FieldFormat, text: string): unknown {
    const words = text.trim() === "" ? [] : text.trim().split(/\s+/);
    switch (format.kind) {
        case "number":
            return text.trim() === "" ? undefined : Number(text);
        case "list":
            return words;
        case "lines":
            return text.split("\n").filter(line => line.trim() !== "").map(line => parseLine(line, format.columns));
        default:
            return text.trim();
    }
}

const columnName = (column: string): string => column.replace(/[#*]$/, "");
const formatCell = (value: unknown): string => Array.isArray(value) ? value.join(",") : String(value);

function parseLine(line: string, columns: readonly string[]): Item {
    const cells = line.trim().split(/\s+/);
    const item: Record<string, unknown> = {};
    columns.forEach((column, index) => {
        const cell = cells[index];
        if (cell !== undefined) {
            item[columnName(column)] = column.endsWith("#") ? Number(cell) : column.endsWith("*") ? cell.split(",") : cell;
        }
    });
    return item;
}

export function parseItem(section: Section, form: URLSearchParams): Item {
    return Object.fromEntries(section.fields.map(field => [field.name, parseField(field.format, form.get(field.name) ?? "")]));
}
