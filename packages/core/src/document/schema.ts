/** Schema of the configuration document. References and constraints between its parts are checked in `document/validate`. */
import * as v from "valibot";

/** Maximum size of a stored document; the platform's store accepts values of up to one megabyte. */
export const maxDocumentBytes = 1_000_000;

const idText = v.pipe(
    v.string(),
    v.regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 of a-z, 0-9 and '-', not starting with '-'"),
);
const addressText = v.pipe(
    v.string(),
    v.regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "must be an IPv4 address and port such as 127.0.0.1:7001"),
);
const integerBetween = (min: number, max: number) =>
    v.pipe(v.number(), v.integer(), v.minValue(min, `must be ${min} or more`), v.maxValue(max, `must be ${max} or less`));
const ratio = v.pipe(v.number(), v.minValue(0, "must be from 0 to 1"), v.maxValue(1, "must be from 0 to 1"));

const dataCentre = v.strictObject({
    id: idText,
    /**
     * Maximum number of entries alive here at once, including those being replaced. Each entry uses its even share of
     * the slots while the entries' membership views differ.
     */
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
    /** Idempotent requests may be retried and hedged; at-most-once requests need a ticket and are never run twice. */
    runs: v.picklist(["idempotent", "atMostOnce"]),
    /** Short requests have reserved slots, long ones can't block them, and deferrable ones use spare slots and may wait. */
    lane: v.picklist(["short", "long", "deferrable"]),
    /** Deadline of a request whose caller sets none, and upper limit of the caller's deadline. */
    deadlineMs: v.optional(integerBetween(10, 3_600_000), 10_000),
});

const service = v.strictObject({
    id: idText,
    classes: v.pipe(v.array(requestClass), v.minLength(1, "must name at least one class")),
    /** Regions that may serve callers of other regions, in order of preference after the caller's own region. */
    regions: v.array(idText),
    /** Share of each target's slots that is reserved for the short lane. */
    shortShare: v.optional(ratio, 0.25),
    /** Time over which a new or reinstated target is ramped up to all its slots. */
    warmUpMs: v.optional(integerBetween(0, 600_000), 5_000),
});

const target = v.strictObject({
    id: idText,
    service: idText,
    dataCentre: idText,
    address: addressText,
    /** Number of requests that the target runs concurrently. */
    slots: integerBetween(1, 10_000),
    /** `draining` accepts no new requests and finishes those in flight; `stopped` is not used at all. */
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
    /** Share of the requests from the region's callers to move. */
    share: ratio,
    /** Maximum number of requests per second to move, over all entries. */
    capPerSecond: integerBetween(1, 10_000_000),
});

const link = v.strictObject({
    between: v.tuple([idText, idText]),
    /** Budget in each direction for requests and answers, in megabits per second. */
    mbitPerSecond: integerBetween(1, 10_000_000),
});

const regionLimit = v.strictObject({
    service: idText,
    region: idText,
    /** Maximum number of requests in flight at the region's targets of the service. */
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
    /** Mesh addresses of entries to take out of service: excluded from look-up answers and given no new requests. */
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
