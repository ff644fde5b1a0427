/**
 * Decision core of an entry: routing, admission, retries and membership. Events come in through `handle`, actions go
 * out through `emit`. The core does no I/O itself, so production, tests and benchmarks all run the same code.
 */
import { createTargetPool } from "./admission/targetPool.js";
import { createConfiguration } from "./configuration/configuration.js";
import { grantIntervalMs, heartbeatIntervalMs, leavingGraceMs, maxPoisonReports } from "./constants.js";
import type { DocumentIndex } from "./document/documentIndex.js";
import { type EntryStatus, toLookupEntry, toPeerStatus, toServiceStatus } from "./entryStatus.js";
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
import { toPoisonNotice, toPoisonReport } from "./poison/poisonNotice.js";
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
    /** Secret shared by all entries; authenticates tickets. */
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
    /** Whether this entry is one of those in its data centre that watch the store. */
    isFollower(): boolean;
    inFlight(): number;
    isLeaving(): boolean;
    /** Arrival time of the most recent request, on the timer's clock; -Infinity before the first. */
    lastArrivalAt(): number;
}

/** Interval of the periodic maintenance of target pools and queues. */
const maintenanceIntervalMs = 50;
/** Fewest slots to ask a peer for; covers a short burst without a second request. */
const minDemandSlots = 4;
/** Longest run time assumed until a document defines the deadlines of the request classes. */
const defaultMaxRunMs = 60_000;

export function createEntryCore(options: EntryCoreOptions): EntryCore {
    const { timer, random, self, emit } = options;
    const policy = options.policy ?? defaultPolicy;
    const runtimes = new Map<ServiceId, ServiceRuntime>();
    const seenPeerAttempts = new Set<string>();
    let listedInstances: readonly ListedInstance[] = [];
    let undiscoveredCount = 0;
    let isLeaving = false;
    let closesAt = Infinity;
    let lastArrivalAt = -Infinity;
    let maxRunMs = defaultMaxRunMs;
    let lookupInputs = "";
    let lookup: ((caller: number) => LookupAnswer) | undefined;

    const pauseGuard = createPauseGuard(timer);
    const ownDataCentre = self.dataCentre;
    const send = (to: InstanceId, message: PeerMessage): void => emit({ kind: "message", to, message });
    const index = (): DocumentIndex | undefined => configuration.index();
    const ownRegion = (): RegionId | undefined => index()?.regionOf(ownDataCentre);
    const ownership = createOwnership({
        timer,
        self: self.instance,
        maxEntries: () => index()?.dataCentres.get(ownDataCentre)?.entries,
        maxRunMs: () => maxRunMs,
        isLeaving: () => isLeaving || (index()?.leavingEntries.has(addressOf(self.instance)) ?? false),
        undiscoveredCount: () => undiscoveredCount,
    });
    const foreignLoads = (): ForeignLoad[] => [...runtimes.values()].flatMap(runtime => runtime.pool.foreignLoads());
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
        onChange: () => handlePeersChanged(),
    });
    const dataCentrePeers = (): Peer[] => peers.all().filter(peer => peer.dataCentre === ownDataCentre);
    const configuration = createConfiguration({
        self: self.instance,
        random,
        peers: peers.all,
        emit,
        onAccepted: (accepted, isFirst) => handleDocumentAccepted(accepted, isFirst),
    });
    const grants = createReceivedGrants(timer);
    const grantAllocator = createGrantAllocator({
        timer,
        emit,
        ownDataCentre,
        regionOf: dataCentre => index()?.regionOf(dataCentre),
        peers: peers.all,
    });
    const shifts = createShifts(timer, ownRegion);
    const tickets = createTicketRegistry({ timer, self: self.instance, key: options.key });
    const poison = createPoisonList({ timer });

    const countUndiscovered = (): number =>
        listedInstances.filter(instance =>
            instance.dataCentre === ownDataCentre && instance.address !== addressOf(self.instance) &&
            !peers.isKnown(instance.address)
        ).length;
    /** Returns the current look-up, with its cached answers, unless the data that it was built from has changed. */
    const reuseLookup = (): typeof lookup => {
        const inputs = `${configuration.revision()} ${isLeaving} ${
            peers.all().map(peer => `${peer.instance} ${peer.state}`).join()
        }`;
        const isUnchanged = inputs === lookupInputs;
        lookupInputs = inputs;
        return isUnchanged ? lookup : undefined;
    };
    const handlePeersChanged = (): void => {
        lookup = reuseLookup();
        undiscoveredCount = countUndiscovered();
        if (ownership.update(dataCentrePeers())) {
            emit({ kind: "note", note: { kind: "viewChanged", members: ownership.members() } });
            peers.broadcastHeartbeat();
        }
    };
    const isUnderRegionLimit = (runtime: ServiceRuntime): boolean => {
        const region = ownRegion();
        const limit = region === undefined ? undefined : index()?.maxInFlightOf(runtime.id, region);
        if (limit === undefined) {
            return true;
        }
        const ownLimit = Math.floor((limit * runtime.pool.capacity()) / Math.max(1, index()!.regionSlots(runtime.id, region!)));
        return runtime.pool.inFlight() < ownLimit;
    };
    const canBeServed = (runtime: ServiceRuntime): boolean =>
        runtime.pool.capacity() > 0 || peers.all().some(peer => peer.state === "alive");
    const requestGrants = (runtime: ServiceRuntime): void => {
        if (timer.now() - runtime.grantsRequestedAt < grantIntervalMs) {
            return;
        }
        runtime.grantsRequestedAt = timer.now();
        for (const peer of peers.all()) {
            if (peer.state === "alive" && (index()?.targetsIn(runtime.id, peer.dataCentre).length ?? 0) > 0) {
                const wanted = Math.max(minDemandSlots, runtime.queue.total());
                send(peer.instance, { kind: "demand", service: runtime.id, wanted });
            }
        }
    };
    /** Chooses a peer. A region that a shift moves traffic to is used only while the cap of the shift has tokens left. */
    const choosePeerWithinShifts = (state: RequestState): Peer | undefined => {
        const router = { ownDataCentre, peers: peers.all, grants };
        const query = {
            index: index()!,
            serviceId: state.serviceId,
            service: state.service,
            shiftDestination: state.shiftDestination,
            excludedPeers: state.triedPeers,
        };
        const peer = choosePeer(router, query);
        const region = peer === undefined ? undefined : query.index.regionOf(peer.dataCentre);
        const isAlreadyCounted = region === state.shiftDestination && state.attemptsStarted === 0;
        if (region === undefined || isAlreadyCounted || shifts.tryTakeOverflow(query.index, state.serviceId, region)) {
            return peer;
        }
        return choosePeer(router, { ...query, excludedRegion: region });
    };
    const dispatcher = createDispatcher({
        timer,
        emit: action => emitWithPoisonNotice(action),
        grants,
        tickets,
        self: self.instance,
        poison,
        runtimeOf: state => runtimes.get(state.serviceId)!,
        choosePeer: state => choosePeerWithinShifts(state),
        isInOwnRegion: peer => index()?.regionOf(peer.dataCentre) === ownRegion(),
        isUnderRegionLimit,
        requestGrants,
        canBeServed,
        onInFlightChange: (state, change) => {
            const { origin } = state.incoming;
            if (origin.kind === "peer") {
                grantAllocator.recordInFlightChange(origin.peer, state.serviceId, change);
            }
        },
        isRecovering: pauseGuard.isRecovering,
        isHedgingEnabled: policy.isHedgingEnabled,
    });
    /** Forwards actions to `emit` and sends poison notes to live peers as well. */
    const emitWithPoisonNotice = (action: CoreAction): void => {
        if (action.kind === "note" && action.note.kind === "poison") {
            const notice = toPoisonNotice({ ...action.note, isCleared: false, ageMs: 0 }, action.note.deaths);
            peers.all().filter(peer => peer.state === "alive").forEach(peer => send(peer.instance, notice));
        }
        emit(action);
    };
    /** An entry that was just met may have restarted or been cut off. */
    const tellOfPoison = (to: InstanceId): void =>
        poison.reports(maxPoisonReports).filter(({ isCleared }) => !isCleared)
            .forEach(report => send(to, toPoisonNotice(report, poison.deathCount(report.fingerprint))));
    const createRuntime = (serviceId: ServiceId, documentIndex: DocumentIndex): ServiceRuntime => {
        const pool = createTargetPool({
            timer,
            random,
            pick: policy.createPicker(),
            isEjectionEnabled: policy.isEjectionEnabled,
            allowance: (target, slots) => {
                const ownershipAllowance = ownership.allowance(target, slots);
                return policy.overrideAllowance === undefined
                    ? ownershipAllowance
                    : policy.overrideAllowance(ownershipAllowance, slots);
            },
            ownsTarget: ownership.ownsTarget,
            peerTargetSummary: () => grants.peerTargetSummary(serviceId),
            sendProbe: (target, address) => emit({ kind: "probeTarget", target, address }),
            onStateChange: (target, from, to, cause) =>
                emit({ kind: "note", note: { kind: "targetState", target, from, to, cause } }),
        });
        return createServiceRuntime(serviceId, documentIndex.services.get(serviceId)!, pool);
    };
    const handleDocumentAccepted = (accepted: DocumentIndex, isFirst: boolean): void => {
        maxRunMs = Math.max(
            0,
            ...[...accepted.services.values()].flatMap(service => service.classes.map(entry => entry.deadlineMs)),
        );
        for (const [serviceId, service] of accepted.services) {
            const runtime = runtimes.get(serviceId) ?? createRuntime(serviceId, accepted);
            runtimes.set(serviceId, runtime);
            runtime.service = service;
            runtime.pool.configure(service, accepted.targetsIn(serviceId, ownDataCentre), isFirst);
        }
        for (const [serviceId, runtime] of runtimes) {
            if (!accepted.services.has(serviceId)) {
                runtime.pool.configure(runtime.service, [], false);
            }
        }
        shifts.configure(accepted);
        ownership.configure([...accepted.services.keys()].map(service => ({
            service,
            targets: accepted.targetsIn(service, ownDataCentre).map(target => toTargetId(target.id)),
        })));
        handlePeersChanged();
        peers.broadcastHeartbeat();
    };
    const handleRequestArrived = (request: IncomingRequest): void => {
        lastArrivalAt = timer.now();
        if (request.origin.kind === "peer" && isDuplicateAttempt(request)) {
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
    /** Whether an attempt of a peer was received before; duplicates from the network are dropped. */
    const isDuplicateAttempt = (request: IncomingRequest): boolean => {
        if (request.origin.kind !== "peer") {
            return false;
        }
        const key = `${request.origin.peer} ${request.origin.attempt}`;
        if (seenPeerAttempts.has(key)) {
            return true;
        }
        seenPeerAttempts.add(key);
        timer.after(maxRunMs * 2, () => seenPeerAttempts.delete(key));
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
    const handlePeerMessage = (from: InstanceId, message: PeerMessage): void => {
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
                grants.recordGrant(from, message);
                withRuntime(message.service, dispatcher.serveQueue);
                break;
            case "demand":
                grantAllocator.recordDemand(from, toServiceId(message.service), message.wanted);
                withRuntime(message.service, allocateGrants);
                break;
            case "poison":
                poison.recordReport(toPoisonReport(message));
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
    const withRuntime = (service: string, use: (runtime: ServiceRuntime) => void): void => {
        const runtime = runtimes.get(toServiceId(service));
        if (runtime !== undefined) {
            use(runtime);
        }
    };
    const allocateGrants = (runtime: ServiceRuntime): void =>
        grantAllocator.allocate(runtime, isLeaving || !isUnderRegionLimit(runtime));
    /** Applies the platform's list of instances. An instance that is no longer listed is gone. */
    const handleInstancesListed = (instances: readonly ListedInstance[]): void => {
        ownership.recordDiscovery();
        const addresses = new Set<Address>(instances.map(instance => instance.address));
        listedInstances.filter(instance => !addresses.has(instance.address)).forEach(instance =>
            peers.markGone(instance.address)
        );
        listedInstances = instances;
        handlePeersChanged();
    };
    const leave = (): void => {
        isLeaving = true;
        closesAt = timer.now() + leavingGraceMs;
        handlePeersChanged();
        peers.broadcastHeartbeat();
    };
    const handle = (event: CoreEvent): void => {
        pauseGuard.recordActivity();
        switch (event.kind) {
            case "requestArrived":
                handleRequestArrived(event.request);
                break;
            case "requestAbandoned":
                dispatcher.handleRequestAbandoned(event.request);
                break;
            case "attemptAnswered":
                dispatcher.handleResponseStarted(event.attempt);
                break;
            case "attemptEnded":
                dispatcher.handleAttemptEnded(event.attempt, event.end);
                break;
            case "targetNoticed":
                runtimes.forEach(runtime => runtime.pool.recordNotice(event.target, event.notice));
                break;
            case "targetProbed":
                runtimes.forEach(runtime => runtime.pool.recordProbeResult(event.target, event.isHealthy));
                break;
            case "peerMet":
                peers.addPeer(event.peer);
                tellOfPoison(event.peer.instance);
                break;
            case "peerRefused":
                peers.markGone(event.address);
                break;
            case "peerMessage":
                handlePeerMessage(event.from, event.message);
                break;
            case "instancesListed":
                handleInstancesListed(event.instances);
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
        pauseGuard.recordActivity();
        for (const runtime of runtimes.values()) {
            runtime.pool.tick();
            dispatcher.refuseUnservableQueue(runtime);
            dispatcher.serveQueue(runtime);
            if (runtime.queue.total() > 0) {
                requestGrants(runtime);
            }
        }
    });
    timer.subscribe(grantIntervalMs, () => runtimes.forEach(allocateGrants));
    timer.subscribe(heartbeatIntervalMs, () => ownership.update(dataCentrePeers()));

    const currentLookup = (): ((caller: number) => LookupAnswer) | undefined => {
        const documentIndex = index();
        if (lookup === undefined && documentIndex !== undefined) {
            const entries = peers.all().filter(peer => peer.state !== "gone").map(toLookupEntry);
            const ownEntry = { ...self, isAnswering: true, isLeaving };
            lookup = createLookup({ index: documentIndex, ownDataCentre, entries: [ownEntry, ...entries] });
        }
        return lookup;
    };
    const status = (): EntryStatus => ({
        instance: self.instance,
        url: self.url,
        dataCentre: ownDataCentre,
        revision: configuration.revision(),
        configuration: configuration.state(),
        isLeaving,
        isAgreed: ownership.isAgreed(),
        members: ownership.members(),
        peers: peers.all().map(toPeerStatus),
        services: [...runtimes.values()].map(toServiceStatus),
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
        lastArrivalAt: () => lastArrivalAt,
    };
}
