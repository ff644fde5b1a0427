/**
 * Holds the document in force. Accepts a document only if it is valid and has a higher revision, pushes it to peers and
 * requests it from peers that report a newer one.
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

/** Number of peers that a new document is pushed to; the others request it after a heartbeat reports the revision. */
const pushFanOut = 4;
/** Number of entries per data centre that watch the store. */
const followersPerDataCentre = 2;

export interface Configuration {
    index(): DocumentIndex | undefined;
    revision(): number;
    state(): FollowerState;
    /** Puts a document from the store or a peer into force if it is valid and newer. */
    offer(text: string, source: "store" | "peer"): void;
    recordStoreFailure(): void;
    /** Requests the peer's document if its revision is newer. */
    recordPeerRevision(peer: InstanceId, revision: number): void;
    /** Sends our document to a peer that requests it, if its revision is older. */
    answerDocumentRequest(peer: InstanceId, revision: number): void;
    /** Whether this entry is one of those in its data centre that watch the store. */
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
    const pushToPeers = (): void => {
        const outdatedPeers = options.peers().filter(peer => peer.state === "alive" && peer.revision < revision());
        for (let pushed = 0; pushed < pushFanOut && outdatedPeers.length > 0; pushed++) {
            const [peer] = outdatedPeers.splice(options.random.below(outdatedPeers.length), 1);
            emit({ kind: "message", to: peer!.instance, message: { kind: "document", text } });
        }
    };
    const offer = (offered: string, source: "store" | "peer"): void => {
        state = followerChart.next(state, source === "store" ? "storeAnswered" : "peerAnswered");
        const accepted = parseAccepted(offered);
        if (accepted === undefined) {
            emit({ kind: "documentRefused", reason: `from ${source}: not a valid stored document` });
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
        pushToPeers();
    };
    return {
        index: () => index,
        revision,
        state: () => state,
        offer,
        recordStoreFailure: () => {
            state = followerChart.next(state, "storeFailed");
        },
        recordPeerRevision: (peer, peerRevision) => {
            if (peerRevision > revision()) {
                emit({ kind: "message", to: peer, message: { kind: "wish", revision: revision() } });
            }
        },
        answerDocumentRequest: (peer, peerRevision) => {
            if (index !== undefined && peerRevision < revision()) {
                emit({ kind: "message", to: peer, message: { kind: "document", text } });
            }
        },
        isFollower: members =>
            rankByRendezvous("follower", members, member => member).slice(0, followersPerDataCentre).includes(self),
    };
}
