/** Numbered log events. Each log line names one; `docs/reference/log-events.md` lists them. */

export type Severity = "debug" | "info" | "warn" | "error";

export interface LogEvent {
    readonly number: number;
    readonly name: string;
    readonly severity: Severity;
    /** What happened and what an operator may do. */
    readonly text: string;
}

const defineEvent = (number: number, name: string, severity: Severity, text: string): LogEvent => ({
    number,
    name,
    severity,
    text,
});

export const logEvents = {
    started: defineEvent(100, "started", "info", "The program listens on its addresses."),
    stopping: defineEvent(101, "stopping", "info", "A shutdown began; new requests go elsewhere and requests in flight finish."),
    stopped: defineEvent(102, "stopped", "info", "The program ended with no requests in flight."),
    stoppedHard: defineEvent(
        103,
        "stoppedHard",
        "warn",
        "The shutdown deadline or a second signal aborted the requests counted in the line.",
    ),
    badSettings: defineEvent(
        104,
        "badSettings",
        "error",
        "A setting is invalid; the line names the file, the key and what is allowed.",
    ),
    cannotListen: defineEvent(
        105,
        "cannotListen",
        "error",
        "A listener can't be opened: its address may be in use or belong to another machine. The line names the listener, the "
            + "address and the number of tries.",
    ),
    loopBusy: defineEvent(
        106,
        "loopBusy",
        "warn",
        "The process's event loop is busy for more of the time than the settings allow; the line counts the calls of its timers.",
    ),
    loopCalm: defineEvent(107, "loopCalm", "info", "The process's event loop is no longer busy."),
    listenerOpened: defineEvent(
        108,
        "listenerOpened",
        "info",
        "A listener that could not be opened before is open; the line counts the tries.",
    ),
    listenerFailed: defineEvent(109, "listenerFailed", "warn", "An open listener reported an error; it stays open."),
    settingsAwaited: defineEvent(
        110,
        "settingsAwaited",
        "error",
        "The settings file can't be used: correct what the line names. The program waits and reads it again until it is valid.",
    ),
    settingsFound: defineEvent(111, "settingsFound", "info", "The settings file that was waited for is valid."),
    settingDefaulted: defineEvent(
        112,
        "settingDefaulted",
        "warn",
        "A setting can't be used: the line gives its key, its value, what is wrong, and the default that is used instead.",
    ),
    exiting: defineEvent(113, "exiting", "warn", "The process ends; the line gives its exit code and the reason."),
    signalIgnored: defineEvent(114, "signalIgnored", "info", "The process received a signal that it does not act on."),
    memoryHigh: defineEvent(
        115,
        "memoryHigh",
        "warn",
        "The process's memory is near its limit; while much of it is in use, requests are refused. The line tells its parts, in bytes.",
    ),
    memoryNormal: defineEvent(116, "memoryNormal", "info", "The process's memory is no longer near its limit."),
    headsCut: defineEvent(
        119,
        "headsCut",
        "warn",
        "The heap is near its limit: connections on which requests were being received were closed. The line counts them.",
    ),
    responsesCut: defineEvent(
        117,
        "responsesCut",
        "warn",
        "Responses that callers read slowly were cut as they took too much memory; the line counts them and tells what is held, in bytes.",
    ),
    callersDropped: defineEvent(
        118,
        "callersDropped",
        "warn",
        "Connections of callers were closed as they arrived, as there were too many; the line counts them and the open ones.",
    ),
    inForce: defineEvent(200, "inForce", "info", "A new revision of the configuration is in force."),
    documentRefused: defineEvent(201, "documentRefused", "error", "A document was rejected; the one in force stays."),
    storeFailed: defineEvent(
        202,
        "storeFailed",
        "warn",
        "The platform's store is unreachable; peers pass the configuration on to each other.",
    ),
    storeAnswers: defineEvent(203, "storeAnswers", "info", "The platform's store is reachable again."),
    listFailed: defineEvent(
        204,
        "listFailed",
        "warn",
        "The platform's list of instances can't be read; the last one stays in use.",
    ),
    replicaStale: defineEvent(
        205,
        "replicaStale",
        "warn",
        "This entry's copy of the store is behind another entry's, or the store has not responded for some time; the line "
            + "gives the age of the pending call and the revisions of others.",
    ),
    replicaFresh: defineEvent(206, "replicaFresh", "info", "This entry's copy of the store is current again."),
    storeCameBackOlder: defineEvent(
        207,
        "storeCameBackOlder",
        "warn",
        "The platform's store came back from an older copy, in a new era; what is in force stays, and what the copy lacks is kept "
            + "until its owner has had time to write it again.",
    ),
    peerMet: defineEvent(300, "peerMet", "info", "A connection to a peer was established."),
    peerRefused: defineEvent(301, "peerRefused", "warn", "A peer with another key or protocol version was refused."),
    peerLost: defineEvent(302, "peerLost", "warn", "The connection to a peer was lost; it is dialled again."),
    peerSilent: defineEvent(303, "peerSilent", "warn", "A connection to a peer stopped responding and was replaced."),
    viewChanged: defineEvent(304, "viewChanged", "info", "The set of entries that count as members of this data centre changed."),
    targetState: defineEvent(400, "targetState", "info", "A target changed its state; the line gives the cause."),
    poison: defineEvent(
        401,
        "poison",
        "warn",
        "A target died while running a request; after two deaths the request is refused. With 0 deaths: it was served and is no longer suspected.",
    ),
    poisonNotCounted: defineEvent(
        402,
        "poisonNotCounted",
        "info",
        "Requests whose connections to a target broke are not taken for the cause of its death: it was reached, leaves, had been removed, or another target has its address.",
    ),
    poisonRefused: defineEvent(
        403,
        "poisonRefused",
        "warn",
        "A request was refused on arrival, as targets died while they ran it; at most five lines a second.",
    ),
    workspaceRefused: defineEvent(
        404,
        "workspaceRefused",
        "warn",
        "A request was refused on arrival because of its key, or of its workspace's regions or quota; the line names the request, the route, "
            + "the result and the workspace, if the key tells it. At most five lines a second; the next one counts those dropped.",
    ),
    callerError: defineEvent(
        500,
        "callerError",
        "debug",
        "Callers sent bytes that are not a valid request; the line counts their connections and gives the last reason.",
    ),
    responseNotWritten: defineEvent(
        501,
        "responseNotWritten",
        "error",
        "A response could not be written to its caller, who got a refusal in its place; the line names the request and the error.",
    ),
    responseCut: defineEvent(
        502,
        "responseCut",
        "warn",
        "A response was cut towards its caller, whose connection was reset; the line names the request, the reason, and the bytes of the "
            + "body that were sent and due. Callers that leave early are only counted.",
    ),
    responsesCutByStop: defineEvent(
        503,
        "responsesCutByStop",
        "warn",
        "The stop cut responses that their callers had not read whole; the line gives each request with the bytes sent and due.",
    ),
    callersOutsideLimits: defineEvent(
        504,
        "callersOutsideLimits",
        "warn",
        "Callers went beyond what a connection may hold: requests or connections were ended. The line counts, since the last one, bodies that "
            + "arrived too slowly, bodies with too much framing, bodies of many small chunks while the entry was behind, heads that made room "
            + "for other callers, connections whose responses were not read, and connections whose input could not be parsed in time.",
    ),
    changeSubmitted: defineEvent(600, "changeSubmitted", "info", "An operator submitted a change; the line is the audit record."),
    operatorRefused: defineEvent(601, "operatorRefused", "warn", "A request without a valid operator token was refused."),
    requestEnded: defineEvent(
        700,
        "requestEnded",
        "info",
        "A request ended; the line lists each attempt with its reasons. Ordinary successes are sampled. Of an answer it tells what "
            + "marked its end at the target, the bytes of its body, how the target had ended the connection, and with hasOtherHead that a "
            + "body without a length contains the head of another answer.",
    ),
    serviceState: defineEvent(
        701,
        "serviceState",
        "info",
        "Load of a service, its slots in this region, and the objects that it uses and its targets cache; logged while it has requests. "
            + "areLoadsKnown: the slots lent by other data centres follow from reported loads; before, from equal ones.",
    ),
    routeState: defineEvent(
        702,
        "routeState",
        "info",
        "How a route's requests ended since the previous such line, and how many ran on a target that had their object cached.",
    ),
    requestsAnswered: defineEvent(
        703,
        "requestsAnswered",
        "info",
        "The requests answered since the previous such line that have no line 700: of each its id, target, status and the bytes of its body, "
            + "and the connection's end if that ended the body; notListed counts those for which the line had no room.",
    ),
    warmState: defineEvent(
        704,
        "warmState",
        "info",
        "Where a service's requests ran since the previous such line: warmShares by region of the targets, with attemptShares the share of "
            + "all attempts by region, the object (by hash) and the "
            + "target with the most attempts and their shares, and the copies of objects that were added.",
    ),
    overQuota: defineEvent(
        706,
        "overQuota",
        "info",
        "A workspace was refused requests for its quota: what all entries admitted in the last window, what those in contact may admit, "
            + "and what this entry may admit now; over counts the workspaces, of which those with the most use are listed.",
    ),
    targetChanged: defineEvent(710, "targetChanged", "info", "A target was added, changed or removed in the store."),
    targetJudged: defineEvent(
        711,
        "targetJudged",
        "info",
        "A target was taken out of use or put back, because of the outcome of its requests.",
    ),
    evacuation: defineEvent(712, "evacuation", "info", "An operator started or ended the evacuation of a data centre."),
    removalDeferred: defineEvent(
        713,
        "removalDeferred",
        "info",
        "Removals of targets are put off, as their records may have expired in a failure of the store; the line gives its age, "
            + "who saw it (own, or the peer that told of it), the targets and how many of them stay in use. Without an age: the records vanished together.",
    ),
    itemRefused: defineEvent(720, "itemRefused", "warn", "An item in the store is invalid; what is in force stays."),
    registered: defineEvent(721, "registered", "info", "This entry is registered in the store."),
    registrationLost: defineEvent(
        722,
        "registrationLost",
        "warn",
        "This entry's registration is gone from the store; it is written again.",
    ),
    stateAdopted: defineEvent(723, "stateAdopted", "info", "The store does not answer; newer state was adopted from a peer."),
    peerStateFailed: defineEvent(724, "peerStateFailed", "warn", "A peer's state could not be read."),
    documentFault: defineEvent(
        725,
        "documentFault",
        "warn",
        "Part of the configuration in force can't be read; the line gives its effect. A newer version may read it.",
    ),
    datagramFailed: defineEvent(730, "datagramFailed", "warn", "A datagram to a peer could not be sent."),
    datagramRefused: defineEvent(731, "datagramRefused", "warn", "A datagram that is not a valid mesh message was dropped."),
    settingsTaken: defineEvent(741, "settingsTaken", "info", "Changed settings are in force, except those that need a restart."),
    settingsRefused: defineEvent(
        742,
        "settingsRefused",
        "error",
        "The changed settings file, or with `kept` only the value that the line names, can't be used; correct it. What was in force stays.",
    ),
    fault: defineEvent(900, "fault", "error", "An unexpected error was caught; please report it with the line."),
} as const satisfies Record<string, LogEvent>;
