/**
 * Port to a platform's key-value store, implemented by the platform's adapter. The daemon reaches a store only through
 * it. A call ends when its signal is aborted; it has no timeout of its own.
 */
import type { Result } from "true-myth/result";

/** An item as written. Revisions increase across the whole store and its eras (`storeRevision.ts`). */
export interface StoreItem {
    readonly key: string;
    readonly value: Buffer;
    readonly revision: number;
}

/** One change: an item that was written, or a key that was removed. */
export type StoreEvent =
    | { readonly kind: "written"; readonly item: StoreItem; }
    | { readonly kind: "removed"; readonly key: string; readonly revision: number; };

export interface StorePage {
    readonly items: readonly StoreItem[];
    readonly hasMore: boolean;
    /** The store's revision when it responded. Pages are not a consistent snapshot: changes may occur between them. */
    readonly revision: number;
}

export interface StoreChanges {
    readonly events: readonly StoreEvent[];
    /** Revision from which the next watch continues. */
    readonly revision: number;
}

export interface StoreWrite {
    /** Required revisions; 0 means that the key must not exist. Keys not listed are not checked. */
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly lease: number; }[];
    readonly removes: readonly string[];
}

/**
 * Why a call failed. `refused`: the store did nothing. `rateLimited`: it did nothing, as it serves no more calls of this entry
 * for now. `unknown`: a write may have been applied, or may still be.
 * `compacted`: the requested history is gone. `conflict`: an expected revision did not match. `noLease`: the lease has
 * expired or was revoked.
 */
export interface StoreFailure {
    readonly kind: "refused" | "rateLimited" | "unknown" | "compacted" | "conflict" | "noLease";
    readonly reason: string;
}

export type StoreResult<Value> = Promise<Result<Value, StoreFailure>>;

export interface Store {
    /** Reads a page of the items whose keys begin with `prefix`; `after` is the last key of the previous page. */
    range(prefix: string, after: string | undefined, signal: AbortSignal): StoreResult<StorePage>;
    /** Long poll for changes after `revision`; resolves as soon as there is one, or empty after `waitMs`. */
    watch(prefix: string, revision: number, waitMs: number, signal: AbortSignal): StoreResult<StoreChanges>;
    /** Atomic. Resolves to the new revision. */
    write(write: StoreWrite, signal: AbortSignal): StoreResult<number>;
    /** Resolves to the id of the lease. */
    grantLease(lifetimeMs: number, signal: AbortSignal): StoreResult<number>;
    renewLease(lease: number, signal: AbortSignal): StoreResult<void>;
    revokeLease(lease: number, signal: AbortSignal): StoreResult<void>;
    /**
     * Newest era that a response has shown. Responses of older eras that arrive later are failures of kind `unknown`; a watch
     * from a revision of an older era is `compacted`.
     */
    era(): number;
    close(): void;
}
