/** The key-value store of a platform, as the daemon uses it. Adapters implement it; nothing else calls a store. */
import type { Result } from "true-myth/result";

/** An item as it was written. Revisions grow over the whole store. */
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
    /** The store's revision when it answered. Pages are not a snapshot: changes may fall between them. */
    readonly revision: number;
}

export interface StoreChanges {
    readonly events: readonly StoreEvent[];
    /** Where the next watch goes on. */
    readonly revision: number;
}

export interface StoreWrite {
    /** Revision that the key must have; 0: it must not exist. Left out: any. */
    readonly expected: readonly { readonly key: string; readonly revision: number; }[];
    readonly puts: readonly { readonly key: string; readonly value: Buffer; readonly lease: number; }[];
    readonly removes: readonly string[];
}

/**
 * Why a call gave nothing. `refused`: the store did nothing. `unknown`: a write may have been done, or may be done
 * later. `compacted`: the history asked for is gone. `conflict`: a condition did not hold. `noLease`: the lease ended.
 */
export interface StoreFailure {
    readonly kind: "refused" | "unknown" | "compacted" | "conflict" | "noLease";
    readonly reason: string;
}

export type StoreResult<Value> = Promise<Result<Value, StoreFailure>>;

export interface Store {
    /** Items whose keys begin with `prefix`, in pages; `after` is the last key of the page before. */
    range(prefix: string, after: string | undefined): StoreResult<StorePage>;
    /** Changes after `revision`; answers as soon as there is one, and empty after `waitMs`. */
    watch(prefix: string, revision: number, waitMs: number): StoreResult<StoreChanges>;
    /** All or nothing. The value is the new revision. */
    write(write: StoreWrite): StoreResult<number>;
    /** The value names the lease. */
    grantLease(lifetimeMs: number): StoreResult<number>;
    renewLease(lease: number): StoreResult<void>;
    revokeLease(lease: number): StoreResult<void>;
    close(): void;
}
