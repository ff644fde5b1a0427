/** Timeouts, intervals and size limits of the entry daemon. */

export const version = "0.1.0";
/** Version of the mesh protocol; peers with another version are refused. */
export const meshProtocolVersion = 1;
/** Bodies up to this size are buffered, so that the request can be sent again. */
export const maxBufferedBodyBytes = 64 * 1024;
/** Largest WebSocket message accepted on the mesh. */
export const maxMeshFrameBytes = 2 * 1024 * 1024;
/** Largest part of a body sent in one frame. */
export const maxChunkBytes = 16 * 1024;
/** Bytes that may be sent on a stream before the receiver grants more credit. */
export const initialStreamWindowBytes = 256 * 1024;
/** Bytes buffered on a socket above which the session waits for it to drain. */
export const maxSocketBufferedBytes = 128 * 1024;
/** A session that receives nothing for this long, although it has sent something, is replaced. */
export const sessionReceiveTimeoutMs = 1_500;
/** Timeout for dialling a peer; the whole handshake, with the proof of the key, may take twice as long. */
export const handshakeTimeoutMs = 1_000;
/** Mean delay between two attempts to dial a peer; up to half of it is added or subtracted at random. */
export const reconnectDelayMs = 500;
/** Interval between reads of the platform's list, on entries that watch the store or have no configuration. */
export const frequentListIntervalMs = 1_000;
/** The same interval on all other entries. */
export const infrequentListIntervalMs = 10_000;
/** Delay before an ended watch is reopened; up to the same time is added at random. */
export const watchReopenDelayMs = 500;
/** Interval between reads of the store while the entry has no configuration. */
export const initialReadIntervalMs = 300;
/** Interval between reads of the store on entries that watch it, in case the watch misses a change. */
export const resyncIntervalMs = 5_000;
/** Idle timeout of connections to targets. */
export const targetIdleTimeoutMs = 4_000;
/** Timeout for connecting to a target. */
export const targetConnectTimeoutMs = 1_000;
/** Timeout for a health probe of a target. */
export const probeTimeoutMs = 1_000;
/** Timeout for receiving the headers of a caller's request. */
export const callerHeadersTimeoutMs = 10_000;
/** Timeout for receiving a caller's whole request. */
export const callerRequestTimeoutMs = 60_000;
/** Largest request line and headers of a caller's request. */
export const maxCallerHeaderBytes = 16 * 1024;
/** Bytes of all callers that have been received and not been parsed yet. */
export const maxUnparsedBytes = 16_000_000;
export const maxTicketsPerResponse = 100;
