/**
 * Numbered result codes. The first digit tells what became of the request:
 * 1 it ran, 2 it was not run (proved, so it may be sent again), 3 unknown, 4 the caller's mistake (not run),
 * 5 an operator's change, 6 settings and start-up.
 */

/** What is known of a request's work at a target. */
export type Outcome = "ran" | "notRun" | "unknown";

export interface Result {
    readonly code: number;
    readonly name: string;
    readonly outcome: Outcome;
    /** HTTP status that goes with the code towards callers. */
    readonly status: number;
    /** One sentence: what happened, and what to do about it. */
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
    answered: result(1000, "answered", "ran", 200, "A target ran the request; this is its whole answer."),
    answeredAgain: result(1001, "answeredAgain", "ran", 200, "The request had run before; this is the answer kept from then."),
    alreadyRan: result(1002, "alreadyRan", "ran", 409, "The request had run before and its answer is no longer kept."),
    noRoom: result(2001, "noRoom", "notRun", 503, "No target has room within the deadline; send it again later."),
    deadlinePassed: result(
        2002,
        "deadlinePassed",
        "notRun",
        504,
        "The deadline passed before the request was given to a target.",
    ),
    noTarget: result(2003, "noTarget", "notRun", 503, "No healthy target of the service can be reached from here."),
    noConfiguration: result(2004, "noConfiguration", "notRun", 503, "This entry has no configuration yet; use another entry."),
    leaving: result(2005, "leaving", "notRun", 503, "This entry is stopping; use another entry."),
    poison: result(2006, "poison", "notRun", 422, "Targets died while running this same request; it is refused for now."),
    refusedByTarget: result(2007, "refusedByTarget", "notRun", 503, "The target shed the request before it started it."),
    cancelled: result(2008, "cancelled", "notRun", 499, "The caller gave up before the request was given to a target."),
    notReached: result(2009, "notReached", "notRun", 503, "The connection failed before any byte of the request was written."),
    overCap: result(
        2010,
        "overCap",
        "notRun",
        503,
        "The cap of a shift or the budget of a link is used up; send it again later.",
    ),
    poisonRequest: result(
        2011,
        "poisonRequest",
        "notRun",
        503,
        "Targets died while running this same request; it is not sent to another one for now.",
    ),
    outcomeUnknown: result(
        3001,
        "outcomeUnknown",
        "unknown",
        502,
        "The connection broke after the request was sent; it may have run.",
    ),
    timedOut: result(3002, "timedOut", "unknown", 504, "The deadline passed while a target had the request; it may have run."),
    issuerGone: result(
        3003,
        "issuerGone",
        "unknown",
        409,
        "The entry that issued the ticket can't be asked; it will not be run by us.",
    ),
    inProgress: result(
        3004,
        "inProgress",
        "unknown",
        409,
        "The request with this ticket is still running; ask again with the same ticket.",
    ),
    abandoned: result(3005, "abandoned", "unknown", 499, "The caller gave up while a target had the request; it may have run."),
    stopped: result(3006, "stopped", "unknown", 502, "The entry was stopped while a target had the request; it may have run."),
    unknownService: result(4001, "unknownService", "notRun", 404, "No such service in the configuration; look at the path."),
    unknownClass: result(4002, "unknownClass", "notRun", 404, "No class of the service takes this method and path."),
    ticketMissing: result(
        4003,
        "ticketMissing",
        "notRun",
        428,
        "This class runs at most once; fetch a ticket and send it with the request.",
    ),
    ticketInvalid: result(4004, "ticketInvalid", "notRun", 400, "The ticket is not one of ours; fetch a new one."),
    ticketExpired: result(
        4005,
        "ticketExpired",
        "unknown",
        410,
        "The ticket is too old to tell what became of it; it will not be run.",
    ),
    ticketReused: result(
        4006,
        "ticketReused",
        "notRun",
        409,
        "The ticket was used for another request; fetch a new one for this.",
    ),
    badHeader: result(4007, "badHeader", "notRun", 400, "A header of the request is malformed; the detail names it."),
    bodyTooLarge: result(4008, "bodyTooLarge", "notRun", 413, "The body is larger than the entry's limit."),
    badCaller: result(4009, "badCaller", "notRun", 400, "The caller's address is not an IPv4 address."),
    unknownPath: result(4010, "unknownPath", "notRun", 404, "No such path; services are under /s/<service>/."),
    malformed: result(4011, "malformed", "notRun", 400, "The bytes received are not a valid HTTP request."),
    requestTooSlow: result(4012, "requestTooSlow", "notRun", 408, "The request did not arrive in time."),
    bodyIncomplete: result(4013, "bodyIncomplete", "notRun", 400, "The request ended before its body was whole."),
    headTooLarge: result(4015, "headTooLarge", "notRun", 431, "The request's head is larger than the operator's limit."),
    unknownRoute: result(4014, "unknownRoute", "notRun", 404, "No route of the configuration matches host and path."),
    applied: result(5000, "applied", "ran", 200, "The change is in the store."),
    invalidDocument: result(
        5001,
        "invalidDocument",
        "notRun",
        422,
        "The document has faults; all are listed and nothing was changed.",
    ),
    conflict: result(5002, "conflict", "notRun", 409, "Another change came first; look at the difference and submit again."),
    storeUnreachable: result(5003, "storeUnreachable", "notRun", 503, "The store can't be reached; nothing was changed."),
    changeUnknown: result(
        5004,
        "changeUnknown",
        "unknown",
        504,
        "The store's answer was lost and reading back failed; look before you submit again.",
    ),
    notAuthorised: result(5005, "notAuthorised", "notRun", 401, "The operator's token is missing or not known."),
    notFound: result(5006, "notFound", "notRun", 404, "There is no such thing in the document."),
    noChange: result(5007, "noChange", "notRun", 200, "The document is already in the store as it is; nothing to change."),
    notInForce: result(
        5008,
        "notInForce",
        "notRun",
        504,
        "The revision is not in force everywhere yet; the detail says where not.",
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
    cannotListen: result(6003, "cannotListen", "notRun", 500, "The address in the settings can't be listened on."),
} as const satisfies Record<string, Result>;

/** Finds a result by its number, for answers that came over the wire. */
export function resultByCode(code: number): Result | undefined {
    return byCode.get(code);
}

const byCode = new Map<number, Result>(Object.values(results).map(entry => [entry.code, entry]));
