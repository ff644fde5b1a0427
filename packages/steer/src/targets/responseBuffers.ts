/**
 * Bounds the total memory of responses, from their first byte until their callers have read them. Faulty targets may send
 * without end, and callers may read slowly; when the limit is exceeded, one response after the other is aborted.
 */

/** Memory of one response. */
export interface ResponseBuffer {
    /** Bytes that it holds: those received or, once it is complete, those that are still to be sent. */
    readonly bytes: () => number;
    /** Whether its caller has read nothing for some time. */
    readonly isStalled: () => boolean;
    readonly abort: (reason: string) => void;
}

export interface ResponseBuffers {
    /** Counts a response that is received from a target from now on. */
    addReceived(buffer: ResponseBuffer): void;
    /** Counts a complete response that its caller is to read. */
    addUnread(buffer: ResponseBuffer): void;
    /** Counts bytes received for any of the responses. */
    recordBytes(bytes: number): void;
    /** Counts bytes less that an unread response no longer holds, as they have been sent. */
    recordSent(buffer: ResponseBuffer, bytes: number): void;
    /** Stops counting a response that is complete, failed, aborted or read. */
    remove(buffer: ResponseBuffer): void;
    /** Aborts the unread response that holds most bytes; false if none holds any. */
    abortUnread(reason: string): boolean;
    /**
     * Whether responses leave too little room for those of further requests. Stalled ones don't count, as they may stay for as long
     * as their callers do: further responses take their place.
     */
    isScarce(): boolean;
    receivedBytes(): number;
    unreadBytes(): number;
    /** Responses aborted so far. */
    abortedCount(): number;
}

/** Responses of a kind, and the bytes that they hold. */
interface BufferGroup {
    readonly buffers: Set<ResponseBuffer>;
    bytes: number;
}

/** Fractions of the limit from which room is scarce: held by responses that are being received, and by these and unread ones. */
const scarceReceivedFraction = 0.5;
const scarceFraction = 0.75;

/** `onReceived` is told of bytes received. */
export function createResponseBuffers(maxBytes: number, onReceived: (bytes: number) => void = () => {}): ResponseBuffers {
    const received: BufferGroup = { buffers: new Set(), bytes: 0 };
    const unread: BufferGroup = { buffers: new Set(), bytes: 0 };
    let abortedCount = 0;

    const add = (group: BufferGroup, buffer: ResponseBuffer): void => {
        group.buffers.add(buffer);
        group.bytes += buffer.bytes();
        abortExcess();
    };
    const remove = (buffer: ResponseBuffer): void => {
        const group = received.buffers.has(buffer) ? received : unread;
        if (group.buffers.delete(buffer)) {
            group.bytes -= buffer.bytes();
        }
    };
    const abortLargest = ({ buffers, bytes }: BufferGroup, reason: string): boolean => {
        if (bytes === 0) {
            return false;
        }
        const largest = [...buffers].reduce((most, buffer) => buffer.bytes() > most.bytes() ? buffer : most);
        remove(largest);
        abortedCount++;
        largest.abort(reason);
        return true;
    };
    const abortUnread = (reason: string): boolean => abortLargest(unread, reason);
    // Unread ones first: an aborted reception counts as a failure of its target.
    const abortExcess = (): void => {
        const reason = `responses exceed ${maxBytes} bytes together; aborting the one that holds most`;
        while (received.bytes + unread.bytes > maxBytes) {
            if (!abortUnread(reason) && !abortLargest(received, reason)) {
                return;
            }
        }
    };
    const isScarce = (): boolean => {
        const readBytes = [...unread.buffers].reduce((sum, buffer) => buffer.isStalled() ? sum : sum + buffer.bytes(), 0);
        return received.bytes >= maxBytes * scarceReceivedFraction || received.bytes + readBytes >= maxBytes * scarceFraction;
    };
    return {
        addReceived: buffer => add(received, buffer),
        addUnread: buffer => add(unread, buffer),
        recordBytes: bytes => {
            received.bytes += bytes;
            abortExcess();
            onReceived(bytes);
        },
        recordSent: (buffer, bytes) => {
            if (unread.buffers.has(buffer)) {
                unread.bytes -= bytes;
            }
        },
        remove,
        abortUnread,
        isScarce,
        receivedBytes: () => received.bytes,
        unreadBytes: () => unread.bytes,
        abortedCount: () => abortedCount,
    };
}
