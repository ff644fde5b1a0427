/** Time and size limits of the decision core. */

/** Interval of heartbeats to each peer. */
export const heartbeatIntervalMs = 500;
/** Duration of the lease that a peer's acknowledgement gives, counted from the sending of the heartbeat. */
export const leaseDurationMs = 2_000;
/** Margin that the granting peer adds before it treats a lease as expired; covers clock drift. */
export const leaseMarginMs = 500;
/** Time that a target is given to free a slot after its connection is closed. */
export const cancellationGraceMs = 1_000;
/** Time for which the slot of a cancelled attempt stays reserved, so that the target sees the cancellation first. */
export const cancelledSlotHoldMs = 100;
/** Maximum lag of the platform's list: after start-up, it may lack entries that started at the same time. */
export const maxListLagMs = 5_000;
/** Interval of grants to peers, and minimum interval of demands for them. */
export const grantIntervalMs = 250;
/** Lifetime of a grant; a peer that stops renewing it receives no more requests. */
export const grantLifetimeMs = 1_000;
export const ticketLifetimeMs = 600_000;
/** Total size of the answers cached for repeated requests with a ticket. */
export const maxResponseCacheBytes = 8 * 1024 * 1024;
/** Maximum size of a cached answer. */
export const maxCachedResponseBytes = 16 * 1024;
/** Maximum retries as a ratio of first attempts. */
export const maxRetryRatio = 0.1;
/** Maximum hedges as a ratio of first attempts. */
export const maxHedgeRatio = 0.05;
/** Latency quantile after which an idempotent request is hedged. */
export const hedgeQuantile = 0.95;
/** Maximum queued requests per slot of a pool. */
export const maxQueuedPerSlot = 4;
/** Maximum ratio of a service's targets that may be ejected as slow at once. */
export const maxEjectedRatio = 0.34;
/** A target counts as slow if its median latency exceeds the service's median by this factor. */
export const slowLatencyFactor = 3;
/** Minimum excess over the service's median latency for a target to count as slow. */
export const minSlowExcessMs = 10;
/** Interval of probes of an ejected target. */
export const probeIntervalMs = 1_000;
/** Number of target deaths after which a request is refused as poison. */
export const poisonDeathThreshold = 2;
/** Time for which the deaths of a request are remembered. */
export const poisonRetentionMs = 600_000;
/** Maximum number of deaths that an entry is told of when it is met. */
export const maxPoisonReports = 256;
/** Maximum number of requests in the poison list. */
export const maxPoisonEntries = 10_000;
/** Maximum number of those that only senders which are no known members have reported. */
export const maxUnconfirmedPoisonEntries = 128;
/** Maximum number of remembered deaths of a request; the verdict does not depend on more. */
export const maxPoisonDeaths = 256;
/** Number of deaths of a request from which on those reported by senders that are no known members are ignored. */
export const maxUnconfirmedPoisonDeaths = 32;
/** Time for which callers may cache a look-up answer. */
export const lookupLifetimeMs = 5_000;
/** Time for which a leaving entry still accepts requests, from callers with a cached look-up answer. */
export const leavingGraceMs = lookupLifetimeMs;
/** Maximum number of entries in a look-up answer. */
export const maxLookupEntries = 4;
