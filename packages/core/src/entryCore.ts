/**
 * Wires the parts of an entry's decisions. Events go in, actions come out through `emit`; there is no I/O here, and
 * production, tests and benchmarks run this same core.
 */
import { createTargetPool } from "./admission/targetPool.js";
import { createConfiguration } from "./configuration/configuration.js";
import { grantIntervalMs, heartbeatIntervalMs, leavingGraceMs } from "./constants.js";
import type { DocumentIndex } from "./document/documentIndex.js";
import { type EntryStatus, toPeerStatus, toServiceStatus } from "./entryStatus.js";
import {
    type Address,
    addressOf,
    type InstanceId,
    type RegionId,
    type ServiceId,
    type Ticket,
    toServiceId,
    toTargetId,
} from "./ids.js";
import { createLookup, type LookupAnswer } from "./lookup/lookup.js";
import type { ForeignLoad, MemberInfo, PeerMessage } from "./membership/messages.js";
import { createOwnership } from "./membership/ownership.js";
import { createPeers, type Peer } from "./membership/peers.js";
import { createPoisonList } from "./poison/poisonList.js";
import { defaultPolicy, type Policy } from "./policy/policy.js";
import type { Random } from "./random/random.js";
import { createDispatcher } from "./requests/dispatcher.js";
import type { CoreAction, CoreEvent, Emit, IncomingRequest, ListedInstance } from "./requests/events.js";
import { admit } from "./requests/intake.js";
import type { RequestState } from "./requests/requestState.js";
import { createServiceRuntime, type ServiceRuntime } from "./requests/serviceRuntime.js";
import { createGrantAllocator } from "./routing/grantAllocator.js";
import { createReceivedGrants } from "./routing/grants.js";
import { choosePeer } from "./routing/router.js";
import { createShifts } from "./routing/shifts.js";
import { createTicketRegistry } from "./tickets/ticketRegistry.js";
import { createPauseGuard } from "./time/pauseGuard.js";
import type { Timer } from "./time/timer.js";

export interface EntryCoreOptions {
    readonly timer: Timer;
    readonly random: Random;
    readonly self: MemberInfo;
    /** Key shared by all entries; seals tickets. */
    readonly key: string;
    readonly emit: Emit;
    readonly policy?: Policy;
}

export interface EntryCore {
    handle(event: CoreEvent): void;
    lookup(caller: number): LookupAnswer | undefined;
    issueTicket(): Ticket;
    status(): EntryStatus;
    index(): DocumentIndex | undefined;
    /** Whether this entry is one that watches the store. */
    isFollower(): boolean;
    inFlight(): number;
    isLeaving(): boolean;
    /** When the last request arrived, on the timer's clock. */
    lastArrivalAt(): number;
}

/** Time between two looks at warm-ups, queues and limits, in milliseconds. */
const maintenanceIntervalMs = 50;
/** Slots asked for at least, so that a short burst doesn't need to ask again. */
const minDemandSlots = 4;
/** Used until a document names the classes' deadlines, in milliseconds. */
const defaultMaxRunMs = 60_000;

export function createEntryCore(options: EntryCoreOptions): EntryCore {
    const { timer, random, self, emit } = options;
    const policy = options.policy ?? defaultPolicy;
    const desks = new Map<ServiceId, ServiceRuntime>();
    const peerOrigins = new Set<string>();
    let listed: readonly ListedInstance[] = [];
    let unmet = 0;
    let isLeaving = false;
    let closesAt = Infinity;
    let arrivedAt = -Infinity;
    let longestRunMs = defaultMaxRunMs;
    let lookupShows = "";
    let lookup: ((caller: number) => LookupAnswer) | undefined;

    const guard = createPauseGuard(timer);
    const own = self.dataCentre;
    const send = (to: InstanceId, message: PeerMessage): void => emit({ kind: "message", to, message });
    const index = (): DocumentIndex | undefined => configuration.index();
    const ownRegion = (): RegionId | undefined => index()?.regionOf(own);
    const ownership = createOwnership({
        timer,
        self: self.instance,
        maxEntries: () => index()?.dataCentres.get(own)?.entries,
        maxRunMs: () => longestRunMs,
        isLeaving: () => isLeaving || (index()?.leavingEntries.has(addressOf(self.instance)) ?? false),
        undiscoveredCount: () => unmet,
    });
    const foreignLoads = (): ForeignLoad[] => [...desks.values()].flatMap(desk => desk.pool.foreignLoads());
    const peers = createPeers({
        timer,
        self,
        ownReport: () => ({
            viewDigest: ownership.digest(),
            revision: configuration.revision() as Peer["revision"],
            leaving: isLeaving,
            foreign: foreignLoads(),
        }),
        sendHeartbeat: send,
        sendAcknowledgement: send,
        onChange: () => peersChanged(),
    });
    const neighbours = (): Peer[] => peers.all().filter(peer => peer.dataCentre === own);
    const configuration = createConfiguration({
        self: self.instance,
        random,
        peers: peers.all,
        emit,
        onAccepted: (accepted, isFirst) => documentAccepted(accepted, isFirst),
    });
    const grants = createReceivedGrants(timer);
    const rounds = createGrantAllocator({
        timer,
        emit,
        ownDataCentre: own,
        regionOf: dataCentre => index()?.regionOf(dataCentre),
        peers: peers.all,
    });
    const shifts = createShifts(timer, ownRegion);
    const tickets = createTicketRegistry({ timer, self: self.instance, key: options.key });
    const poison = createPoisonList(timer);

    const countUnmet = (): number =>
        listed.filter(instance =>
            instance.dataCentre === own && instance.address !== addressOf(self.instance) && !peers.isKnown(instance.address)
        ).length;
    /** Keeps the look-up, with the answers it has made, while nothing that it shows has changed. */
    const lookupIfSame = (): typeof lookup => {
        const shown = `${configuration.revision()} ${isLeaving} ${
            peers.all().map(peer => `${peer.instance} ${peer.state}`).join()
        }`;
        const isSame = shown === lookupShows;
        lookupShows = shown;
        return isSame ? lookup : undefined;
    };
    const peersChanged = (): void => {
        lookup = lookupIfSame();
        unmet = countUnmet();
        if (ownership.update(neighbours())) {
            emit({ kind: "note", note: { kind: "viewChanged", members: ownership.members() } });
            peers.broadcastHeartbeat();
        }
    };
    const underLimit = (desk: ServiceRuntime): boolean => {
        const region = ownRegion();
        const limit = region === undefined ? undefined : index()?.maxInFlightOf(desk.id, region);
        if (limit === undefined) {
            return true;
        }
        const share = Math.floor((limit * desk.pool.capacity()) / Math.max(1, index()!.regionSlots(desk.id, region!)));
        return desk.pool.inFlight() < share;
    };
    const isServed = (desk: ServiceRuntime): boolean =>
        desk.pool.capacity() > 0 || peers.all().some(peer => peer.state === "alive");
    const ask = (desk: ServiceRuntime): void => {
        if (timer.now() - desk.grantsRequestedAt < grantIntervalMs) {
            return;
        }
        desk.grantsRequestedAt = timer.now();
        for (const peer of peers.all()) {
            if (peer.state === "alive" && (index()?.targetsIn(desk.id, peer.dataCentre).length ?? 0) > 0) {
                send(peer.instance, { kind: "demand", service: desk.id, wanted: Math.max(minDemandSlots, desk.queue.total()) });
            }
        }
    };
    /** Chooses a peer; one to which a shift leads only under the shift's cap. */
    const chooseWithinShifts = (state: RequestState): Peer | undefined => {
        const router = { ownDataCentre: own, peers: peers.all, grants };
        const wish = {
            index: index()!,
            serviceId: state.serviceId,
            service: state.service,
            shiftDestination: state.shiftDestination,
            excludedPeers: state.triedPeers,
        };
        const peer = choosePeer(router, wish);
        const region = peer === undefined ? undefined : wish.index.regionOf(peer.dataCentre);
        const isCounted = region === state.shiftDestination && state.attemptsStarted === 0;
        if (region === undefined || isCounted || shifts.tryTakeOverflow(wish.index, state.serviceId, region)) {
            return peer;
        }
        return choosePeer(router, { ...wish, excludedRegion: region });
    };
    const dispatcher = createDispatcher({
        timer,
        emit: action => emitAndFollow(action),
        grants,
        tickets,
        poison,
        runtimeOf: state => desks.get(state.serviceId)!,
        choosePeer: state => chooseWithinShifts(state),
        isInOwnRegion: peer => index()?.regionOf(peer.dataCentre) === ownRegion(),
        isUnderRegionLimit: underLimit,
        requestGrants: ask,
        canBeServed: isServed,
        onInFlightChange: (state, change) => {
            const { origin } = state.incoming;
            if (origin.kind === "peer") {
                rounds.recordInFlightChange(origin.peer, state.serviceId, change);
            }
        },
        isRecovering: guard.isRecovering,
        isHedgingEnabled: policy.isHedgingEnabled,
    });
    /** Tells peers of poison, and counts peers' requests for their grants. */
    const emitAndFollow = (action: CoreAction): void => {
        if (action.kind === "note" && action.note.kind === "poison") {
            const { fingerprint, deaths } = action.note;
            peers.all().filter(peer => peer.state === "alive")
                .forEach(peer => send(peer.instance, { kind: "poison", fingerprint, deaths }));
        }
        emit(action);
    };
    const createDesk = (serviceId: ServiceId, documentIndex: DocumentIndex): ServiceRuntime => {
        const pool = createTargetPool({
            timer,
            random,
            pick: policy.createPicker(),
            isEjectionEnabled: policy.isEjectionEnabled,
            allowance: (target, slots) => {
                const safe = ownership.allowance(target, slots);
                return policy.overrideAllowance === undefined ? safe : policy.overrideAllowance(safe, slots);
            },
            ownsTarget: ownership.ownsTarget,
            peerTargetSummary: () => grants.peerTargetSummary(serviceId),
            sendProbe: (target, address) => emit({ kind: "probeTarget", target, address }),
            onStateChange: (target, from, to, cause) =>
                emit({ kind: "note", note: { kind: "targetState", target, from, to, cause } }),
        });
        return createServiceRuntime(serviceId, documentIndex.services.get(serviceId)!, pool);
    };
    const documentAccepted = (accepted: DocumentIndex, isFirst: boolean): void => {
        longestRunMs = Math.max(
            0,
            ...[...accepted.services.values()].flatMap(service => service.classes.map(entry => entry.deadlineMs)),
        );
        for (const [serviceId, service] of accepted.services) {
            const desk = desks.get(serviceId) ?? createDesk(serviceId, accepted);
            desks.set(serviceId, desk);
            desk.service = service;
            desk.pool.configure(service, accepted.targetsIn(serviceId, own), isFirst);
        }
        for (const [serviceId, desk] of desks) {
            if (!accepted.services.has(serviceId)) {
                desk.pool.configure(desk.service, [], false);
            }
        }
        shifts.configure(accepted);
        ownership.configure([...accepted.services.keys()].map(service => ({
            service,
            targets: accepted.targetsIn(service, own).map(target => toTargetId(target.id)),
        })));
        peersChanged();
        peers.broadcastHeartbeat();
    };
    const requestArrived = (request: IncomingRequest): void => {
        arrivedAt = timer.now();
        if (request.origin.kind === "peer" && isRepeatedTry(request)) {
            return;
        }
        const decision = admit(intake, request);
        switch (decision.kind) {
            case "refuse":
                emit({ kind: "refuse", request: request.id, result: decision.result });
                break;
            case "repeat":
                emit({ kind: "repeat", request: request.id, answer: decision.answer });
                break;
            case "run":
                dispatcher.start(decision.state);
                break;
            case "redeem":
                dispatcher.forwardToIssuer(decision.state, decision.issuer);
                break;
        }
    };
    /** A peer's try is taken once, however often the network brings it. */
    const isRepeatedTry = (request: IncomingRequest): boolean => {
        if (request.origin.kind !== "peer") {
            return false;
        }
        const key = `${request.origin.peer} ${request.origin.attempt}`;
        if (peerOrigins.has(key)) {
            return true;
        }
        peerOrigins.add(key);
        timer.after(longestRunMs * 2, () => peerOrigins.delete(key));
        return false;
    };
    const intake = {
        self: self.instance,
        now: timer.now,
        index,
        isClosedToCallers: () => timer.now() >= closesAt,
        tickets,
        poison,
        isIssuerReachable: (issuer: InstanceId) => ["alive", "leaving"].includes(peers.find(issuer)?.state ?? ""),
        resolveDestination: (documentIndex: DocumentIndex, service: ServiceId, request: IncomingRequest) =>
            shifts.resolveDestination(documentIndex, service, request.id),
    };
    const peerMessage = (from: InstanceId, message: PeerMessage): void => {
        switch (message.kind) {
            case "heartbeat":
                ownership.recordDiscovery();
                peers.receiveHeartbeat(from, message);
                configuration.recordPeerRevision(from, message.report?.revision ?? 0);
                break;
            case "acknowledgement":
                ownership.recordDiscovery();
                peers.receiveAcknowledgement(from, message);
                configuration.recordPeerRevision(from, message.report?.revision ?? 0);
                break;
            case "grant":
                grants.receive(from, message);
                withDesk(message.service, dispatcher.serveQueue);
                break;
            case "demand":
                rounds.recordDemand(from, toServiceId(message.service), message.wanted);
                withDesk(message.service, grantRound);
                break;
            case "poison":
                poison.recordReportedDeaths(
                    message.fingerprint as Parameters<typeof poison.recordReportedDeaths>[0],
                    message.deaths,
                );
                break;
            case "document":
                configuration.offer(message.text, "peer");
                break;
            case "wish":
                configuration.answerDocumentRequest(from, message.revision);
                break;
            case "goodbye":
                peers.markGone(addressOf(message.from.instance));
                break;
        }
    };
    const withDesk = (service: string, use: (desk: ServiceRuntime) => void): void => {
        const desk = desks.get(toServiceId(service));
        if (desk !== undefined) {
            use(desk);
        }
    };
    const grantRound = (desk: ServiceRuntime): void => rounds.allocate(desk, isLeaving || !underLimit(desk));
    /** An entry that the platform listed and lists no more is gone. */
    const instancesListed = (instances: readonly ListedInstance[]): void => {
        ownership.recordDiscovery();
        const names = new Set<Address>(instances.map(instance => instance.address));
        listed.filter(instance => !names.has(instance.address)).forEach(instance => peers.markGone(instance.address));
        listed = instances;
        peersChanged();
    };
    const leave = (): void => {
        isLeaving = true;
        closesAt = timer.now() + leavingGraceMs;
        peersChanged();
        peers.broadcastHeartbeat();
    };
    const handle = (event: CoreEvent): void => {
        guard.recordActivity();
        switch (event.kind) {
            case "requestArrived":
                requestArrived(event.request);
                break;
            case "requestAbandoned":
                dispatcher.handleRequestAbandoned(event.request);
                break;
            case "attemptAnswered":
                dispatcher.handleAttemptAnswered(event.attempt);
                break;
            case "attemptEnded":
                dispatcher.handleAttemptEnded(event.attempt, event.end);
                break;
            case "targetProbed":
                desks.forEach(desk => desk.pool.recordProbeResult(event.target, event.isHealthy));
                break;
            case "peerMet":
                peers.addPeer(event.peer);
                break;
            case "peerRefused":
                peers.markGone(event.address);
                break;
            case "peerMessage":
                peerMessage(event.from, event.message);
                break;
            case "instancesListed":
                instancesListed(event.instances);
                break;
            case "documentOffered":
                configuration.offer(event.text, event.source);
                break;
            case "storeFailed":
                configuration.recordStoreFailure();
                break;
            case "leave":
                leave();
                break;
        }
    };
    timer.subscribe(maintenanceIntervalMs, () => {
        guard.recordActivity();
        for (const desk of desks.values()) {
            desk.pool.tick();
            dispatcher.refuseUnservableQueue(desk);
            dispatcher.serveQueue(desk);
            if (desk.queue.total() > 0) {
                ask(desk);
            }
        }
    });
    timer.subscribe(grantIntervalMs, () => desks.forEach(grantRound));
    timer.subscribe(heartbeatIntervalMs, () => ownership.update(neighbours()));

    const currentLookup = (): ((caller: number) => LookupAnswer) | undefined => {
        const documentIndex = index();
        if (lookup === undefined && documentIndex !== undefined) {
            const entries = peers.all().filter(peer => peer.state !== "gone").map(peer => ({
                instance: peer.instance,
                dataCentre: peer.dataCentre,
                url: peer.url,
                isAnswering: peer.state === "alive",
                isLeaving: peer.state === "leaving",
            }));
            const ownEntry = { ...self, isAnswering: true, isLeaving };
            lookup = createLookup({ index: documentIndex, ownDataCentre: own, entries: [ownEntry, ...entries] });
        }
        return lookup;
    };
    const status = (): EntryStatus => ({
        instance: self.instance,
        url: self.url,
        dataCentre: own,
        revision: configuration.revision(),
        configuration: configuration.state(),
        isLeaving,
        isAgreed: ownership.isAgreed(),
        members: ownership.members(),
        peers: peers.all().map(toPeerStatus),
        services: [...desks.values()].map(toServiceStatus),
        inFlight: dispatcher.inFlight(),
        spentTickets: tickets.spentCount(),
    });
    return {
        handle,
        lookup: caller => currentLookup()?.(caller),
        issueTicket: tickets.issue,
        status,
        index,
        isFollower: () => configuration.isFollower(ownership.members()),
        inFlight: dispatcher.inFlight,
        isLeaving: () => isLeaving,
        lastArrivalAt: () => arrivedAt,
    };
}
