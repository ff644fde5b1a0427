/** Creates an entry from its settings: connects the core to callers' HTTP, the mesh, targets and the platform. */
import { createEntryCore, type EntryCore } from "@pimentospring/core/entryCore";
import { type Address, addressOf, toDataCentreId, toInstanceId } from "@pimentospring/core/ids";
import type { MemberInfo } from "@pimentospring/core/membership/messages";
import { createRandom } from "@pimentospring/core/random/random";
import type { CoreAction, CoreEvent, OperatorNote } from "@pimentospring/core/requests/events";
import type { Timer } from "@pimentospring/core/time/timer";
import { listen, splitAddress } from "@pimentospring/runtime/http/jsonServer";
import { type ServerConnections, trackConnections } from "@pimentospring/runtime/http/serverConnections";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createStore } from "@pimentospring/runtime/platform/store";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import { createTracing } from "@pimentospring/runtime/traces/tracing";
import { randomBytes } from "node:crypto";
import { createCallerServer } from "./callers/callerServer.js";
import { createRequestExecutor, type RequestExecutor } from "./exchange/requestExecutor.js";
import { createMesh, type Mesh } from "./mesh/mesh.js";
import { toReceivedRequest } from "./mesh/peerRequest.js";
import { createMetrics } from "./observe/metrics.js";
import { createRefusalLog } from "./observe/refusalLog.js";
import { createPlatformFollower } from "./platform/platformFollower.js";
import type { EntrySettings } from "./settings/settings.js";
import { createTargetClient } from "./targets/targetClient.js";

export interface Entry {
    readonly self: MemberInfo;
    readonly core: EntryCore;
    /** Withdraws from look-ups, waits up to `deadlineMs` for requests in flight and closes; returns how many were aborted. */
    stop(deadlineMs: number): Promise<number>;
    /** Closes without waiting for requests in flight. */
    close(): Promise<void>;
}

export interface EntryOptions {
    readonly settings: EntrySettings;
    readonly log: Log;
}

/** Interval between checks for requests in flight while the entry drains. */
const drainPollIntervalMs = 20;
/** After this long without a new request, no caller is expected to hold a look-up answer that names this entry. */
const drainQuietPeriodMs = 1_000;

export async function createEntry(options: EntryOptions): Promise<Entry> {
    const { settings, log } = options;
    const timer = createClockTimer();
    const seed = settings.seed ?? randomBytes(4).readInt32LE();
    const random = createRandom(seed);
    const self = createSelf(settings, timer);
    const tracing = createTracing({
        program: "pimento-entry",
        instance: self.instance,
        endpoint: settings.traces.endpoint,
        samplingRatio: settings.traces.share,
    });
    const targets = createTargetClient();
    const store = createStore(settings.platform.store, settings.platform.timeoutMs);
    const components: { core: EntryCore; requestExecutor: RequestExecutor; mesh: Mesh; } = {} as never;
    const handle = (event: CoreEvent): void => components.core.handle(event);
    const dispatchAction = (action: CoreAction): void => {
        switch (action.kind) {
            case "message":
                components.mesh.sendMessage(action.to, action.message);
                break;
            case "probeTarget":
                void targets.probe(action.address)
                    .then(isHealthy => handle({ kind: "targetProbed", target: action.target, isHealthy }));
                break;
            case "inForce":
                log.write(logEvents.inForce, { revision: action.revision });
                break;
            case "documentRefused":
                log.write(logEvents.documentRefused, { reason: action.reason });
                break;
            case "note":
                logNote(log, action.note);
                break;
            default:
                components.requestExecutor.executeAction(action);
        }
    };
    components.core = createEntryCore({ timer, random, self, key: settings.mesh.key, emit: dispatchAction });
    const metrics = createMetrics(() => components.core);
    components.requestExecutor = createRequestExecutor({
        timer,
        instance: self.instance,
        handle,
        targets,
        mesh: () => components.mesh,
        metrics,
        tracing,
        onRefused: createRefusalLog({ timer, log }),
    });
    const addPeerAddress = (address: Address): void => components.mesh.addPeerAddress(address);
    components.mesh = await createMesh({
        timer,
        random,
        log,
        listen: settings.mesh.listen,
        self,
        keys: { current: settings.mesh.key, previous: settings.mesh.previousKey },
        onMessage: (from, message) => {
            if (message.kind === "heartbeat" || message.kind === "acknowledgement") {
                message.report?.members.forEach(member => addPeerAddress(addressOf(member.instance)));
            }
            handle({ kind: "peerMessage", from, message });
        },
        onPeerConnected: member => {
            log.write(logEvents.peerMet, { peer: member.instance });
            handle({ kind: "peerMet", peer: member });
        },
        onConnectionRefused: address => handle({ kind: "peerRefused", address }),
        onRequest: request => components.requestExecutor.submitRequest(toReceivedRequest(request, tracing)),
    });
    settings.mesh.seeds.forEach(seedAddress => addPeerAddress(seedAddress as Address));
    const server = createCallerServer({
        core: components.core,
        log,
        timer,
        metrics,
        tracing,
        maxBodyBytes: settings.callers.maxBodyBytes,
        submitRequest: components.requestExecutor.submitRequest,
    });
    const connections = trackConnections({ server, timer });
    const { host, port } = splitAddress(settings.callers.listen);
    await listen(server, host, port);
    const follower = createPlatformFollower({
        timer,
        random,
        log,
        core: components.core,
        handle,
        store,
        listUrl: settings.platform.instances,
        timeoutMs: settings.platform.timeoutMs,
        onInstances: instances => instances.forEach(instance => addPeerAddress(instance.address)),
    });
    /** Resolves to the number of connections on which a response was cut. */
    const close = async (): Promise<number> => {
        const cutCount = connections.closeAll();
        follower.close();
        server.close();
        await components.mesh.close();
        await Promise.all([targets.close(), store.close(), tracing.close()]);
        return cutCount;
    };
    const stop = async (deadlineMs: number): Promise<number> => {
        handle({ kind: "leave" });
        await drain(timer, components.core, connections, deadlineMs);
        const abortedCount = components.requestExecutor.abortAll();
        for (const peer of components.core.status().peers) {
            components.mesh.sendMessage(peer.instance, { kind: "goodbye", from: self });
        }
        await sleep(timer, drainPollIntervalMs);
        return abortedCount + await close();
    };
    return { self, core: components.core, stop, close: async () => void await close() };
}

function createSelf(settings: EntrySettings, timer: Timer): MemberInfo {
    const incarnation = `${timer.wallTime().toString(36)}-${randomBytes(3).toString("hex")}`;
    return {
        instance: toInstanceId(`${settings.mesh.listen}/${incarnation}`),
        dataCentre: toDataCentreId(settings.dataCentre),
        url: settings.callers.url ?? `http://${settings.callers.listen}`,
    };
}

const sleep = (timer: Timer, durationMs: number): Promise<void> => new Promise(resolve => timer.after(durationMs, resolve));

/** Waits until no new requests arrive, none is in flight and every response is written, or the deadline passes. */
async function drain(timer: Timer, core: EntryCore, connections: ServerConnections, deadlineMs: number): Promise<void> {
    const startedAt = timer.now();
    const lastActivityAt = (): number => Math.max(startedAt, core.lastArrivalAt());
    do {
        await sleep(timer, drainPollIntervalMs);
        connections.closeIdle();
    }
    while (
        timer.now() - startedAt < deadlineMs
        && (timer.now() - lastActivityAt() < drainQuietPeriodMs || core.inFlight() > 0 || connections.openRequestCount() > 0)
    );
}

function logNote(log: Log, note: OperatorNote): void {
    switch (note.kind) {
        case "targetState":
            log.write(logEvents.targetState, { target: note.target, from: note.from, to: note.to, cause: note.cause });
            break;
        case "viewChanged":
            log.write(logEvents.viewChanged, { members: note.members });
            break;
        case "poison":
            log.write(logEvents.poison, { fingerprint: note.fingerprint, deaths: note.deaths });
            break;
    }
}
