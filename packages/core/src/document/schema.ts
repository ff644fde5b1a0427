/** The operators' document: its shape and its limits. Meaning across parts is checked in `document/validate`. */
import * as v from "valibot";

/** Most bytes of the document in the store; the platform holds values up to a megabyte. */
export const maxDocumentBytes = 1_000_000;

const idText = v.pipe(
    v.string(),
    v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 of a-z, 0-9 and '-', not starting with '-'"),
);
const addressText = v.pipe(
    v.string(),
    v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and port such as 127.0.0.1:7001"),
);
const integerBetween = (least: number, most: number) =>
    v.pipe(v.number(), v.integer(), v.minValue(least, `must be ${least} or more`), v.maxValue(most, `must be ${most} or less`));
const ratio = v.pipe(v.number(), v.minValue(0, "must be from 0 to 1"), v.maxValue(1, "must be from 0 to 1"));

const dataCentre = v.strictObject({
    id: idText,
    /** Most entries that are alive here at once, those being replaced included; divides slots while entries disagree. */
    entries: integerBetween(1, 1000),
});

const region = v.strictObject({
    id: idText,
    dataCentres: v.pipe(v.array(dataCentre), v.minLength(1, "must name at least one data centre")),
});

const requestClass = v.strictObject({
    id: idText,
    methods: v.pipe(v.array(v.picklist(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"])), v.minLength(1)),
    pathPrefix: v.pipe(v.string(), v.startsWith("/", "must start with '/'")),
    /** Idempotent work may be retried and hedged; at-most-once work needs a ticket and is never run twice. */
    runs: v.picklist(["idempotent", "atMostOnce"]),
    /** Short work has slots kept for it; long work doesn't hold it up; deferrable work fills what is left and waits. */
    lane: v.picklist(["short", "long", "deferrable"]),
    /** Longest a request may take when its caller names no deadline, in milliseconds. */
    deadlineMs: v.optional(integerBetween(10, 3_600_000), 10_000),
});

const service = v.strictObject({
    id: idText,
    classes: v.pipe(v.array(requestClass), v.minLength(1, "must name at least one class")),
    /** Regions that may serve callers of other regions, in order of preference after the caller's own. */
    regions: v.array(idText),
    /** Share of each target's slots that long and deferrable work never takes. */
    shortShare: v.optional(ratio, 0.25),
    /** Time over which a new or returning target is brought up to all its slots, in milliseconds. */
    warmUpMs: v.optional(integerBetween(0, 600_000), 5_000),
});

const target = v.strictObject({
    id: idText,
    service: idText,
    dataCentre: idText,
    address: addressText,
    /** Requests the target runs at once. */
    slots: integerBetween(1, 10_000),
    /** `draining` takes no new work and finishes what it has; `stopped` is not used at all. */
    state: v.optional(v.picklist(["serving", "draining", "stopped"]), "serving"),
});

const callerBlock = v.strictObject({
    prefix: v.pipe(v.string(), v.regex(/^\d{1,3}(\.\d{1,3}){3}\/\d{1,2}$/, "must be an IPv4 block such as 10.1.0.0/16")),
    dataCentre: idText,
});

const shift = v.strictObject({
    id: idText,
    service: idText,
    from: idText,
    to: idText,
    /** Share of the region's callers' requests to move. */
    share: ratio,
    /** Most requests a second moved, over all entries together. */
    capPerSecond: integerBetween(1, 10_000_000),
});

const link = v.strictObject({
    between: v.tuple([idText, idText]),
    /** Budget each way for requests and answers, in megabits a second. */
    mbitPerSecond: integerBetween(1, 10_000_000),
});

const regionLimit = v.strictObject({
    service: idText,
    region: idText,
    /** Most requests in flight at the region's targets of the service. */
    maxInFlight: integerBetween(0, 10_000_000),
});

export const documentSchema = v.strictObject({
    schema: v.literal(1),
    regions: v.pipe(v.array(region), v.minLength(1, "must name at least one region")),
    services: v.optional(v.array(service), []),
    targets: v.optional(v.array(target), []),
    callerBlocks: v.optional(v.array(callerBlock), []),
    shifts: v.optional(v.array(shift), []),
    links: v.optional(v.array(link), []),
    limits: v.optional(v.array(regionLimit), []),
    /** Mesh addresses of entries that are to leave: not named in look-ups and given no new work. */
    leavingEntries: v.optional(v.array(addressText), []),
});

export type Document = v.InferOutput<typeof documentSchema>;
export type Region = v.InferOutput<typeof region>;
export type DataCentre = v.InferOutput<typeof dataCentre>;
export type Service = v.InferOutput<typeof service>;
export type RequestClass = v.InferOutput<typeof requestClass>;
export type Target = v.InferOutput<typeof target>;
export type CallerBlock = v.InferOutput<typeof callerBlock>;
export type Shift = v.InferOutput<typeof shift>;
export type Link = v.InferOutput<typeof link>;
export type RegionLimit = v.InferOutput<typeof regionLimit>;
export type Lane = RequestClass["lane"];
