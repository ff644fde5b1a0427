/**
 * Revisions of a store that may come back from an older copy. Each time it does, its era increases by one, and it gives out
 * revisions again. The daemon therefore holds era and revision as one number, which orders like the pair of both. In era 0 it
 * is the store's own revision.
 */

/** Larger than any revision that a store reaches; 4,096 eras of it fit into a safe integer. */
const revisionsPerEra = 2 ** 40;
export const maxRevisionInEra = revisionsPerEra - 1;
export const maxEra = 2 ** 12 - 1;

/** Returns the revision as the daemon holds it. */
export const toStoreRevision = (era: number, revisionInEra: number): number => era * revisionsPerEra + revisionInEra;

export const eraOf = (revision: number): number => Math.floor(revision / revisionsPerEra);

/** Returns the revision as the store counts it. */
export const revisionInEraOf = (revision: number): number => revision % revisionsPerEra;

export const isEra = (value: unknown): value is number =>
    Number.isInteger(value) && (value as number) >= 0 && (value as number) <= maxEra;

export const isRevisionInEra = (value: unknown): value is number =>
    Number.isInteger(value) && (value as number) >= 0 && (value as number) <= maxRevisionInEra;

/** Log fields of a revision; without an era in stores that never came back older. */
export const revisionFields = (revision: number): { readonly revision: number; readonly era?: number; } =>
    eraOf(revision) === 0
        ? { revision }
        : { revision: revisionInEraOf(revision), era: eraOf(revision) };
