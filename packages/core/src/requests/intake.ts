/** Admission checks on arrival of a request: configuration, service, request class, poison list, ticket and shutdown. */
import { type DocumentIndex, findRequestClass } from "../document/documentIndex.js";
import type { RequestClass, Service } from "../document/schema.js";
import type { InstanceId, RegionId, ServiceId } from "../ids.js";
import type { PoisonList } from "../poison/poisonList.js";
import { type Result, results } from "../results/resultCode.js";
import type { CachedResponse, TicketRegistry } from "../tickets/ticketRegistry.js";
import type { IncomingRequest } from "./events.js";
import type { RequestState } from "./requestState.js";

export type AdmissionDecision =
    | { readonly kind: "refuse"; readonly result: Result; }
    | { readonly kind: "repeat"; readonly answer: CachedResponse; }
    | { readonly kind: "run"; readonly state: RequestState; }
    | { readonly kind: "redeem"; readonly state: RequestState; readonly issuer: InstanceId; };

export interface AdmissionOptions {
    readonly self: InstanceId;
    readonly now: () => number;
    readonly index: () => DocumentIndex | undefined;
    /** Whether the entry no longer accepts new requests from callers. */
    readonly isClosedToCallers: () => boolean;
    readonly tickets: TicketRegistry;
    readonly poison: PoisonList;
    /** Whether the issuer of a ticket can be reached now. */
    readonly isIssuerReachable: (issuer: InstanceId) => boolean;
    readonly resolveDestination: (index: DocumentIndex, service: ServiceId, request: IncomingRequest) => RegionId | undefined;
}

const refuse = (result: Result): AdmissionDecision => ({ kind: "refuse", result });

export function admit(options: AdmissionOptions, incoming: IncomingRequest): AdmissionDecision {
    const index = options.index();
    if (index === undefined) {
        return refuse(results.noConfiguration);
    }
    const service = index.services.get(incoming.service);
    if (service === undefined) {
        return refuse(results.unknownService);
    }
    const requestClass = findRequestClass(service, incoming.method, incoming.path);
    if (requestClass === undefined) {
        return refuse(results.unknownClass);
    }
    if (options.poison.isRefused(incoming.fingerprint)) {
        return refuse(results.poison);
    }
    const isFromCaller = incoming.origin.kind === "caller";
    const shiftDestination = isFromCaller ? options.resolveDestination(index, incoming.service, incoming) : undefined;
    const state = createState(options, incoming, service, requestClass, shiftDestination);
    const needsTicket = requestClass.runs === "atMostOnce"
        && (incoming.origin.kind === "caller" || incoming.origin.role === "redeem");
    if (needsTicket) {
        return admitTicket(options, state);
    }
    return options.isClosedToCallers() && isFromCaller ? refuse(results.leaving) : { kind: "run", state };
}

function admitTicket(options: AdmissionOptions, state: RequestState): AdmissionDecision {
    const { ticket } = state.incoming;
    if (ticket === undefined) {
        return refuse(results.ticketMissing);
    }
    const claims = options.tickets.verify(ticket);
    if (claims === undefined) {
        return refuse(results.ticketInvalid);
    }
    if (claims.issuer !== options.self) {
        const mayForward = state.incoming.origin.kind === "caller" && options.isIssuerReachable(claims.issuer);
        return mayForward ? { kind: "redeem", state, issuer: claims.issuer } : refuse(results.issuerGone);
    }
    const decision = options.tickets.spend(claims, state.incoming.fingerprint());
    if (decision.kind === "run") {
        state.ticketSerial = decision.serial;
        return { kind: "run", state };
    }
    return decision;
}

function createState(
    options: AdmissionOptions,
    incoming: IncomingRequest,
    service: Service,
    requestClass: RequestClass,
    shiftDestination: RegionId | undefined,
): RequestState {
    const allowedMs = Math.min(incoming.remainingMs ?? requestClass.deadlineMs, requestClass.deadlineMs);
    return {
        incoming,
        serviceId: incoming.service,
        service,
        requestClass,
        deadlineAt: options.now() + allowedMs,
        shiftDestination,
        attempts: new Map(),
        triedTargets: [],
        triedPeers: [],
        ticketSerial: undefined,
        winningAttempt: undefined,
        attemptsStarted: 0,
        isQueued: false,
        isDetached: false,
        lastRefusal: undefined,
        cancelTimers: [],
    };
}
