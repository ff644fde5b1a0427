/** Times and sizes of the decision core. Times are in milliseconds. */

/** Time between two heartbeats to a peer. */
export const heartbeatIntervalMs = 500;
/** A peer's acknowledgement lets an entry act on the shared view for this long after it sent the heartbeat. */
export const leaseDurationMs = 2_000;
/** Added by the peer that gave a lease before it counts it as ended; covers clocks that run at different rates. */
export const leaseMarginMs = 500;
/** Time that a target is given to free a slot after its connection was closed. */
export const cancellationGraceMs = 1_000;
/** Slots of a cancelled attempt are kept back this long, so that the target hears of the end first. */
export const cancelledSlotHoldMs = 100;
/** Time after start in which the platform's list may still lack entries that started at the same moment. */
export const maxListLagMs = 5_000;
/** Time between two rounds of grants to peers. */
export const grantIntervalMs = 250;
/** Lifetime of a grant. */
export const grantLifetimeMs = 1_000;
/** Lifetime of a ticket. */
export const ticketLifetimeMs = 600_000;
/** Bytes of answers kept for requests that are sent again with their ticket. */
export const maxAnswerCacheBytes = 8 * 1024 * 1024;
/** Largest answer that is kept, in bytes. */
export const maxCachedAnswerBytes = 16 * 1024;
/** Most retries as a share of first tries. */
export const maxRetryRatio = 0.1;
/** Most hedges as a share of first tries. */
export const maxHedgeRatio = 0.05;
/** Latency quantile after which an idempotent request is hedged. */
export const hedgeQuantile = 0.95;
/** Most requests waiting for each slot of a pool. */
export const maxQueuedPerSlot = 4;
/** Most targets of a pool that may be ejected at once, as a share. */
export const maxEjectedRatio = 0.34;
/** A target is slow when its recent latency is this many times the pool's median. */
export const slowLatencyFactor = 3;
/** A target is not slow while its latency is less than this above the pool's median. */
export const minSlowExcessMs = 10;
/** Time between two single probes of an ejected target. */
export const probeIntervalMs = 1_000;
/** Deaths of targets under one request before it is refused. */
export const poisonDeathThreshold = 2;
/** Time for which a poison request is remembered. */
export const poisonRetentionMs = 600_000;
/** Most poison requests remembered. */
export const maxPoisonEntries = 10_000;
/** Time for which callers may keep a look-up's answer. */
export const lookupLifetimeMs = 5_000;
/** Time for which a leaving entry still takes requests of callers that hold older look-up answers. */
export const leavingGraceMs = lookupLifetimeMs;
/** Entries named in a look-up's answer. */
export const maxLookupEntries = 4;
