/** State charts of peers, targets, tickets and the follower of the store. */
import { type Chart, loadChart } from "./chart.js";

export type PeerState = "unheard" | "alive" | "suspect" | "leaving" | "gone";
export type PeerEvent = "acknowledged" | "leaseRanOut" | "announcedLeaving" | "provedGone";
export type TargetState = "warming" | "serving" | "ejected" | "draining" | "drained" | "stopped";
export type TargetEvent =
    | "warmedUp"
    | "foundSlow"
    | "died"
    | "probeGood"
    | "probeBad"
    | "drainOrdered"
    | "emptied"
    | "stopOrdered"
    | "serveOrdered";
export type TicketState = "unspent" | "running" | "ran" | "unknown";
export type TicketEvent = "started" | "provedNotRun" | "answered" | "lost";
export type FollowerState = "empty" | "following" | "carried" | "cutOff";
export type FollowerEvent = "accepted" | "storeAnswered" | "storeFailed" | "peerAnswered" | "heardNothing";

export const peerChart: Chart<PeerState, PeerEvent> = loadChart(
    "peer",
    ["unheard", "alive", "suspect", "leaving", "gone"],
    ["acknowledged", "leaseRanOut", "announcedLeaving", "provedGone"],
);

export const targetChart: Chart<TargetState, TargetEvent> = loadChart(
    "target",
    ["warming", "serving", "ejected", "draining", "drained", "stopped"],
    ["warmedUp", "foundSlow", "died", "probeGood", "probeBad", "drainOrdered", "emptied", "stopOrdered", "serveOrdered"],
);

export const ticketChart: Chart<TicketState, TicketEvent> = loadChart(
    "ticket",
    ["unspent", "running", "ran", "unknown"],
    ["started", "provedNotRun", "answered", "lost"],
);

export const followerChart: Chart<FollowerState, FollowerEvent> = loadChart(
    "follower",
    ["empty", "following", "carried", "cutOff"],
    ["accepted", "storeAnswered", "storeFailed", "peerAnswered", "heardNothing"],
);
