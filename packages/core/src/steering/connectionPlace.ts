/** A request's place among the requests that its caller sent over one connection without awaiting the responses. */
export interface ConnectionPlace {
    /** Earlier requests of the connection that are in progress. */
    readonly ahead: number;
    /** Time for which it waited, while it was in progress, until it was the first of its connection. */
    readonly delayMs: number;
}

/** That of the only request of its connection. */
export const firstPlace: ConnectionPlace = { ahead: 0, delayMs: 0 };

/**
 * Negative if `a` goes before `b` although both are equally urgent: connections take turns, so that a caller that sends many requests
 * ahead does not delay the only request of another.
 */
export const comparePlaces = (a: ConnectionPlace, b: ConnectionPlace): number => a.ahead - b.ahead;
