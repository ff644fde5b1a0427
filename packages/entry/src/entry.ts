/** Wires an entry daemon: settings in, a running entry out. */
import { createEntryCore, type EntryCore } from "@pimentospring/core/entryCore";
import { type Address, addressOf, toDataCentreId, toInstanceId } from "@pimentospring/core/ids";
import type { MemberInfo } from "@pimentospring/core/membership/messages";
import { createRandom } from "@pimentospring/core/random/random";
import type { CoreAction, CoreEvent, Note } from "@pimentospring/core/requests/events";
import type { Timer } from "@pimentospring/core/time/timer";
import { listen, splitAddress } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { createStore } from "@pimentospring/runtime/platform/store";
import { createClockTimer } from "@pimentospring/runtime/time/clockTimer";
import { createTracing } from "@pimentospring/runtime/traces/tracing";
import { randomBytes } from "node:crypto";
import type { Server } from "node:http";
import { createCallerServer } from "./callers/callerServer.js";
import { createShell, type Shell } from "./exchange/shell.js";
import { createMesh, type Mesh } from "./mesh/mesh.js";
import { arrivalOfPeer } from "./mesh/peerArrival.js";
import { createMetrics } from "./observe/metrics.js";
import { createPlatformFollower } from "./platform/platformFollower.js";
import type { EntrySettings } from "./settings/settings.js";
import { createTargetClient } from "./targets/targetClient.js";

export interface Entry {
    readonly self: MemberInfo;
    readonly core: EntryCore;
    /** Leaves look-ups, waits for requests in flight at most `deadlineMs`, and ends; returns how many were cut off. */
    stop(deadlineMs: number): Promise<number>;
    /** Ends at once. */
    close(): Promise<void>;
}

export interface EntryOptions {
    readonly settings: EntrySettings;
    readonly log: Log;
}

/** Time between two looks at what is still in flight during a stop, in milliseconds. */
const stopLookMs = 20;
/** Without a new request for this long nobody holds a look-up answer that names us, in milliseconds. */
const quietMs = 1_000;

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
        share: settings.traces.share,
    });
    const targets = createTargetClient();
    const store = createStore(settings.platform.store, settings.platform.timeoutMs);
    const parts: { core: EntryCore; shell: Shell; mesh: Mesh; } = {} as never;
    const handle = (event: CoreEvent): void => parts.core.handle(event);
    const act = (action: CoreAction): void => {
        switch (action.kind) {
            case "message":
                parts.mesh.message(action.to, action.message);
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
                writeNote(log, action.note);
                break;
            default:
                parts.shell.act(action);
        }
    };
    parts.core = createEntryCore({ timer, random, self, key: settings.mesh.key, emit: act });
    const metrics = createMetrics(() => parts.core);
    parts.shell = createShell({
        timer,
        instance: self.instance,
        handle,
        targets,
        mesh: () => parts.mesh,
        metrics,
        tracing,
    });
    const learn = (address: Address): void => parts.mesh.learn(address);
    parts.mesh = await createMesh({
        timer,
        random,
        log,
        listen: settings.mesh.listen,
        self,
        keys: { current: settings.mesh.key, previous: settings.mesh.previousKey },
        received: (from, message) => {
            if (message.kind === "heartbeat" || message.kind === "acknowledgement") {
                message.report?.members.forEach(member => learn(addressOf(member.instance)));
            }
            handle({ kind: "peerMessage", from, message });
        },
        met: member => {
            log.write(logEvents.peerMet, { peer: member.instance });
            handle({ kind: "peerMet", peer: member });
        },
        refused: address => handle({ kind: "peerRefused", address }),
        requested: request => parts.shell.arrive(arrivalOfPeer(request, tracing)),
    });
    settings.mesh.seeds.forEach(seedAddress => learn(seedAddress as Address));
    const server = createCallerServer({
        core: parts.core,
        log,
        metrics,
        tracing,
        maxBodyBytes: settings.callers.maxBodyBytes,
        arrive: parts.shell.arrive,
    });
    const { host, port } = splitAddress(settings.callers.listen);
    await listen(server, host, port);
    const follower = createPlatformFollower({
        timer,
        random,
        log,
        core: parts.core,
        handle,
        store,
        listUrl: settings.platform.instances,
        timeoutMs: settings.platform.timeoutMs,
        listed: instances => instances.forEach(instance => learn(instance.address)),
    });
    const close = async (): Promise<void> => {
        follower.close();
        server.closeAllConnections();
        server.close();
        await parts.mesh.close();
        await Promise.all([targets.close(), store.close(), tracing.close()]);
    };
    const stop = async (deadlineMs: number): Promise<number> => {
        handle({ kind: "leave" });
        await drain(timer, parts.core, server, deadlineMs);
        const cut = parts.shell.cutAll();
        for (const peer of parts.core.status().peers) {
            parts.mesh.message(peer.instance, { kind: "goodbye", from: self });
        }
        await sleep(timer, stopLookMs);
        await close();
        return cut;
    };
    return { self, core: parts.core, stop, close };
}

function createSelf(settings: EntrySettings, timer: Timer): MemberInfo {
    const run = `${timer.wallTime().toString(36)}-${randomBytes(3).toString("hex")}`;
    return {
        instance: toInstanceId(`${settings.mesh.listen}/${run}`),
        dataCentre: toDataCentreId(settings.dataCentre),
        url: settings.callers.url ?? `http://${settings.callers.listen}`,
    };
}

const sleep = (timer: Timer, durationMs: number): Promise<void> => new Promise(resolve => timer.after(durationMs, resolve));

/** Waits until callers have gone elsewhere and nothing is in flight, or the deadline passes. */
async function drain(timer: Timer, core: EntryCore, server: Server, deadlineMs: number): Promise<void> {
    const startedAt = timer.now();
    const quietSince = (): number => Math.max(startedAt, core.lastArrivalAt());
    do {
        await sleep(timer, stopLookMs);
        server.closeIdleConnections();
    }
    while (timer.now() - startedAt < deadlineMs && (timer.now() - quietSince() < quietMs || core.inFlight() > 0));
}

function writeNote(log: Log, note: Note): void {
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
