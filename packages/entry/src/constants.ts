/** Times and sizes of the entry daemon. Times are in milliseconds, sizes in bytes. */

export const version = "0.1.0";
/** Version of the mesh protocol; entries of another version are refused. */
export const meshProtocolVersion = 1;
/** Bodies up to this size are held whole, so that the request can be sent again. */
export const maxBufferedBodyBytes = 64 * 1024;
/** Largest frame on the mesh. */
export const maxMeshFrameBytes = 2 * 1024 * 1024;
/** Part of a body sent in one frame. */
export const maxChunkBytes = 16 * 1024;
/** Bytes of a stream that may be on their way before the receiver has taken any. */
export const initialStreamWindowBytes = 256 * 1024;
/** Bytes handed to a socket before the session waits for it to drain. */
export const maxSocketBufferedBytes = 128 * 1024;
/** A session that answers nothing for this long is taken for silent and replaced. */
export const sessionReceiveTimeoutMs = 1_500;
/** Time for dialling a peer and proving the key. */
export const handshakeTimeoutMs = 1_000;
/** Time between two tries to dial a peer. */
export const reconnectDelayMs = 500;
/** Time between two reads of the platform's list, for entries that watch the store. */
export const frequentListIntervalMs = 1_000;
/** The same for the others. */
export const infrequentListIntervalMs = 10_000;
/** Time before an ended watch is opened again; a random part is added. */
export const watchReopenDelayMs = 500;
/** Time without any configuration after which the store is asked. */
export const initialReadIntervalMs = 300;
/** Time between two reads of the store by an entry that watches it, in case a watch hears nothing. */
export const resyncIntervalMs = 5_000;
/** Idle connections to targets are closed after this. */
export const targetIdleTimeoutMs = 4_000;
/** Time for a connection to a target. */
export const targetConnectTimeoutMs = 1_000;
/** Time for a health probe of a target. */
export const probeTimeoutMs = 1_000;
/** Time for a caller to send the head of a request. */
export const callerHeadersTimeoutMs = 10_000;
/** Time for a caller to send a whole request. */
export const callerRequestTimeoutMs = 60_000;
/** Largest head of a caller's request. */
export const maxCallerHeaderBytes = 16 * 1024;
/** Most tickets in one answer. */
export const maxTicketsPerResponse = 100;
