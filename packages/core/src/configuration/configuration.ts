/**
 * Keeps the configuration in force: takes a document only when it is valid and its revision is higher, passes it on to
 * peers and asks those that have a newer one.
 */
import { followerChart, type FollowerState } from "../chart/charts.js";
import { formatAccepted, parseAccepted } from "../document/accepted.js";
import { createDocumentIndex, type DocumentIndex } from "../document/documentIndex.js";
import { validateDocument } from "../document/validate.js";
import type { InstanceId } from "../ids.js";
import { rankByRendezvous } from "../lookup/rendezvous.js";
import type { Peer } from "../membership/peers.js";
import type { Random } from "../random/random.js";
import type { Emit } from "../requests/events.js";

/** Peers to which a new document is pushed; the others ask when a heartbeat tells them of it. */
const pushFanOut = 4;
/** Entries of a data centre that watch the store. */
const followersPerDataCentre = 2;

export interface Configuration {
    index(): DocumentIndex | undefined;
    revision(): number;
    state(): FollowerState;
    offer(text: string, source: "store" | "peer"): void;
    recordStoreFailure(): void;
    /** A peer told its revision. */
    recordPeerRevision(peer: InstanceId, revision: number): void;
    /** A peer asks for our document. */
    answerDocumentRequest(peer: InstanceId, revision: number): void;
    /** Whether this entry is one of those that watch the store for its data centre. */
    isFollower(ownDataCentre: readonly InstanceId[]): boolean;
}

export interface ConfigurationOptions {
    readonly self: InstanceId;
    readonly random: Random;
    readonly peers: () => readonly Peer[];
    readonly emit: Emit;
    readonly onAccepted: (index: DocumentIndex, isFirst: boolean) => void;
}

export function createConfiguration(options: ConfigurationOptions): Configuration {
    const { self, emit } = options;
    let index: DocumentIndex | undefined;
    let text = "";
    let state = followerChart.initial;

    const revision = (): number => index?.accepted.revision ?? 0;
    const push = (): void => {
        const behind = options.peers().filter(peer => peer.state === "alive" && peer.revision < revision());
        for (let sent = 0; sent < pushFanOut && behind.length > 0; sent++) {
            const [peer] = behind.splice(options.random.below(behind.length), 1);
            emit({ kind: "message", to: peer!.instance, message: { kind: "document", text } });
        }
    };
    const offer = (offered: string, source: "store" | "peer"): void => {
        state = followerChart.next(state, source === "store" ? "storeAnswered" : "peerAnswered");
        const accepted = parseAccepted(offered);
        if (accepted === undefined) {
            emit({ kind: "documentRefused", reason: `from ${source}: not a document` });
            return;
        }
        if (accepted.revision <= revision()) {
            return;
        }
        const valid = validateDocument(accepted.document);
        if (valid.isErr) {
            const first = valid.error[0]!;
            emit({ kind: "documentRefused", reason: `from ${source}: ${first.path} ${first.text}` });
            return;
        }
        const isFirst = index === undefined;
        index = createDocumentIndex(accepted);
        text = formatAccepted(accepted);
        state = followerChart.next(state, "accepted");
        options.onAccepted(index, isFirst);
        emit({ kind: "inForce", revision: accepted.revision, text });
        push();
    };
    return {
        index: () => index,
        revision,
        state: () => state,
        offer,
        recordStoreFailure: () => {
            state = followerChart.next(state, "storeFailed");
        },
        recordPeerRevision: (peer, theirs) => {
            if (theirs > revision()) {
                emit({ kind: "message", to: peer, message: { kind: "wish", revision: revision() } });
            }
        },
        answerDocumentRequest: (peer, theirs) => {
            if (index !== undefined && theirs < revision()) {
                emit({ kind: "message", to: peer, message: { kind: "document", text } });
            }
        },
        isFollower: members =>
            rankByRendezvous("follower", members, member => member).slice(0, followersPerDataCentre).includes(self),
    };
}
