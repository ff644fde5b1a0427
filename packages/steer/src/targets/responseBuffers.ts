/**
 * Bounds the total memory of responses in progress. A faulty target may send without end; when the limit is exceeded,
 * the largest response is aborted first.
 */

/** Buffer of one response in progress. */
export interface ResponseBuffer {
    readonly bytes: () => number;
    readonly abort: (reason: string) => void;
}

export interface ResponseBuffers {
    add(buffer: ResponseBuffer): void;
    /** Counts bytes received for any of the responses. */
    recordBytes(bytes: number): void;
    /** Stops counting a response that is complete, failed or aborted. */
    remove(buffer: ResponseBuffer): void;
    usedBytes(): number;
}

export function createResponseBuffers(maxBytes: number): ResponseBuffers {
    const buffers = new Set<ResponseBuffer>();
    let bufferedBytes = 0;
    const remove = (buffer: ResponseBuffer): void => {
        if (buffers.delete(buffer)) {
            bufferedBytes -= buffer.bytes();
        }
    };
    const largest = (): ResponseBuffer => [...buffers].reduce((most, buffer) => buffer.bytes() > most.bytes() ? buffer : most);
    return {
        add: buffer => void buffers.add(buffer),
        recordBytes: bytes => {
            bufferedBytes += bytes;
            while (bufferedBytes > maxBytes && buffers.size > 0) {
                const buffer = largest();
                remove(buffer);
                buffer.abort(`responses in progress exceed ${maxBytes} bytes together; aborting the largest`);
            }
        },
        remove,
        usedBytes: () => bufferedBytes,
    };
}
