/**
 * Result codes. The first digit gives the category: 1 the request ran, 2 it provably did not run and may be sent again,
 * 3 its outcome is unknown, 4 error of the caller, 5 change by an operator, 6 settings and start-up.
 */

/** Whether a target is known to have run the request. */
export type Outcome = "ran" | "notRun" | "unknown";

export interface Result {
    readonly code: number;
    readonly name: string;
    readonly outcome: Outcome;
    /** HTTP status sent to callers with the code. */
    readonly status: number;
    /** What happened and what to do about it, in one sentence. */
    readonly text: string;
}

const result = (code: number, name: string, outcome: Outcome, status: number, text: string): Result => ({
    code,
    name,
    outcome,
    status,
    text,
});

export const results = {
    answered: result(1000, "answered", "ran", 200, "A target ran the request; this is its complete response."),
    answeredAgain: result(1001, "answeredAgain", "ran", 200, "The request had run before; this is its cached answer."),
    alreadyRan: result(1002, "alreadyRan", "ran", 409, "The request had run before and its answer is no longer cached."),
    noRoom: result(2001, "noRoom", "notRun", 503, "No target has a free slot within the deadline; retry later."),
    deadlinePassed: result(
        2002,
        "deadlinePassed",
        "notRun",
        504,
        "The deadline passed before the request was sent to a target.",
    ),
    noTarget: result(2003, "noTarget", "notRun", 503, "No healthy target of the service can be reached from this entry."),
    noConfiguration: result(2004, "noConfiguration", "notRun", 503, "This entry has no configuration yet; use another entry."),
    leaving: result(2005, "leaving", "notRun", 503, "This entry is stopping; use another entry."),
    poison: result(2006, "poison", "notRun", 422, "Targets died while running an identical request; it is refused for now."),
    refusedByTarget: result(2007, "refusedByTarget", "notRun", 503, "The target shed the request before starting it."),
    cancelled: result(2008, "cancelled", "notRun", 499, "The caller cancelled the request before it was sent to a target."),
    notReached: result(2009, "notReached", "notRun", 503, "The connection failed before any byte of the request was written."),
    overCap: result(
        2010,
        "overCap",
        "notRun",
        503,
        "The cap of a shift or the budget of a link is exhausted; retry later.",
    ),
    poisonRequest: result(
        2011,
        "poisonRequest",
        "notRun",
        503,
        "Targets died while running an identical request; it is not sent to another target for now.",
    ),
    unreadableRoute: result(
        2012,
        "unreadableRoute",
        "notRun",
        503,
        "This entry can't read the route's configuration; the operator finds the fault in the entry's log and status.",
    ),
    noMemory: result(2013, "noMemory", "notRun", 503, "The bodies of requests in progress use all of the entry's memory; retry."),
    unreadableWorkspace: result(
        2014,
        "unreadableWorkspace",
        "notRun",
        503,
        "This entry can't read the workspace's configuration; the operator finds the fault in the entry's log and status.",
    ),
    noCommonRegion: result(
        2015,
        "noCommonRegion",
        "notRun",
        503,
        "The route and the workspace have no region in common in which the request may run.",
    ),
    staleKeys: result(
        2016,
        "staleKeys",
        "notRun",
        503,
        "This entry can't tell whether the key is still valid, as it is cut off; use another entry.",
    ),
    overQuota: result(2017, "overQuota", "notRun", 429, "The workspace has used up its quota; retry later."),
    tooManyChunks: result(
        2018,
        "tooManyChunks",
        "notRun",
        503,
        "The entry is behind with what it receives, and the body comes in very many small chunks; retry later.",
    ),
    outcomeUnknown: result(
        3001,
        "outcomeUnknown",
        "unknown",
        502,
        "The connection broke after the request was sent; it may have run.",
    ),
    timedOut: result(
        3002,
        "timedOut",
        "unknown",
        504,
        "The deadline passed while a target was processing the request; it may have run.",
    ),
    issuerGone: result(
        3003,
        "issuerGone",
        "unknown",
        409,
        "The entry that issued the ticket can't be reached; the request will not be run.",
    ),
    inProgress: result(
        3004,
        "inProgress",
        "unknown",
        409,
        "The request with this ticket is still running; retry with the same ticket.",
    ),
    abandoned: result(
        3005,
        "abandoned",
        "unknown",
        499,
        "The caller cancelled the request while a target was processing it; it may have run.",
    ),
    stopped: result(
        3006,
        "stopped",
        "unknown",
        502,
        "The entry was stopped while a target was processing the request; it may have run.",
    ),
    unexpectedError: result(
        3007,
        "unexpectedError",
        "unknown",
        500,
        "An error in this entry kept the request from getting its response; it may have run. The log names the error.",
    ),
    unknownService: result(4001, "unknownService", "notRun", 404, "The configuration has no such service; check the path."),
    unknownClass: result(4002, "unknownClass", "notRun", 404, "No request class of the service accepts this method and path."),
    ticketMissing: result(
        4003,
        "ticketMissing",
        "notRun",
        428,
        "This request class runs at most once; get a ticket and send it with the request.",
    ),
    ticketInvalid: result(4004, "ticketInvalid", "notRun", 400, "The ticket was not issued by this system; get a new one."),
    ticketExpired: result(
        4005,
        "ticketExpired",
        "unknown",
        410,
        "The ticket has expired and the outcome of its request is unknown; the request will not be run.",
    ),
    ticketReused: result(
        4006,
        "ticketReused",
        "notRun",
        409,
        "The ticket was used for another request; get a new one.",
    ),
    badHeader: result(4007, "badHeader", "notRun", 400, "A header of the request is malformed; the detail names it."),
    bodyTooLarge: result(4008, "bodyTooLarge", "notRun", 413, "The body is larger than the entry's limit."),
    badCaller: result(4009, "badCaller", "notRun", 400, "The caller's address is not an IPv4 address."),
    unknownPath: result(4010, "unknownPath", "notRun", 404, "No such path; services are under /s/<service>/."),
    malformed: result(4011, "malformed", "notRun", 400, "The bytes received are not a valid HTTP request."),
    requestTooSlow: result(4012, "requestTooSlow", "notRun", 408, "The request was not received completely in time."),
    bodyIncomplete: result(4013, "bodyIncomplete", "notRun", 400, "The request ended before its body was complete."),
    headTooLarge: result(
        4015,
        "headTooLarge",
        "notRun",
        431,
        "The request line and headers are larger than the configured limit.",
    ),
    unknownRoute: result(4014, "unknownRoute", "notRun", 404, "No route of the configuration matches the host and path."),
    tooMuchFraming: result(
        4017,
        "tooMuchFraming",
        "notRun",
        400,
        "Chunk extensions, chunk sizes or trailers of the request take many times the bytes of its body; send larger chunks.",
    ),
    unauthorised: result(
        4016,
        "unauthorised",
        "notRun",
        401,
        "The request has no key, or one that belongs to no workspace of the configuration.",
    ),
    applied: result(5000, "applied", "ran", 200, "The change is in the store."),
    invalidDocument: result(
        5001,
        "invalidDocument",
        "notRun",
        422,
        "The document has faults; all are listed and nothing was changed.",
    ),
    conflict: result(5002, "conflict", "notRun", 409, "Another change came first; review the differences and submit again."),
    storeUnreachable: result(5003, "storeUnreachable", "notRun", 503, "The store can't be reached; nothing was changed."),
    changeUnknown: result(
        5004,
        "changeUnknown",
        "unknown",
        504,
        "The store's answer was lost and reading back failed; check the document before submitting again.",
    ),
    notAuthorised: result(5005, "notAuthorised", "notRun", 401, "The operator's token is missing or invalid."),
    notFound: result(5006, "notFound", "notRun", 404, "The document has no such item."),
    noChange: result(5007, "noChange", "notRun", 200, "The store already has this document; nothing was changed."),
    notInForce: result(
        5008,
        "notInForce",
        "notRun",
        504,
        "The revision is not yet in force everywhere; the detail lists where it is missing.",
    ),
    entryUnreachable: result(5009, "entryUnreachable", "notRun", 504, "The entry does not answer on its control address."),
    badSettings: result(
        6001,
        "badSettings",
        "notRun",
        500,
        "The settings have faults; each is listed with file, key and what is allowed.",
    ),
    badArguments: result(6002, "badArguments", "notRun", 500, "The command line can't be understood; see --help."),
    cannotListen: result(6003, "cannotListen", "notRun", 500, "Listening on the address in the settings failed."),
} as const satisfies Record<string, Result>;

/** Returns the result with this code, for answers received over the network. */
export function resultByCode(code: number): Result | undefined {
    return resultsByCode.get(code);
}

const resultsByCode = new Map<number, Result>(Object.values(results).map(entry => [entry.code, entry]));
