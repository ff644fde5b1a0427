/** Fetches the status of entries over the callers' HTTP interface. */
import type { EntryStatus } from "@pimentospring/core/entryStatus";
import { request } from "undici";

/** An entry's URL and status; the status is undefined if the request failed or timed out. */
export interface EntryResponse {
    readonly url: string;
    readonly status: EntryStatus | undefined;
}

const requestTimeoutMs = 2_000;

export async function fetchEntryStatus(url: string): Promise<EntryStatus | undefined> {
    try {
        const response = await request(`${url}/v1/status`, { signal: AbortSignal.timeout(requestTimeoutMs) });
        return await response.body.json() as EntryStatus;
    }
    catch {
        return undefined;
    }
}

/** Fetches the status of the seed entries and, transitively, of all peers that they report. */
export async function fetchAllEntryStatuses(seedUrls: readonly string[]): Promise<EntryResponse[]> {
    const responses = new Map<string, EntryResponse>();
    let pendingUrls = [...seedUrls];
    while (pendingUrls.length > 0) {
        const batch = await Promise.all(pendingUrls.map(async url => ({ url, status: await fetchEntryStatus(url) })));
        batch.forEach(response => responses.set(response.url, response));
        const peers = batch.flatMap(response => response.status?.peers ?? []).filter(peer => peer.state !== "gone");
        pendingUrls = [...new Set(peers.map(peer => peer.url))].filter(url => !responses.has(url));
    }
    return [...responses.values()];
}
