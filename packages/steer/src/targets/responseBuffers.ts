/**
 * Bytes of answers that have begun and not ended. A target in trouble may send without end; what all such answers hold
 * together stays bounded, and the largest is given up first.
 */

/** One answer that is being received. */
export interface ResponseBuffer {
    readonly bytes: () => number;
    readonly abort: (reason: string) => void;
}

export interface ResponseBuffers {
    add(answer: ResponseBuffer): void;
    /** Bytes came for one of the answers. */
    recordBytes(bytes: number): void;
    /** Whole, broken or given up: its bytes are no longer counted. */
    remove(answer: ResponseBuffer): void;
}

export function createResponseBuffers(maxBytes: number): ResponseBuffers {
    const answers = new Set<ResponseBuffer>();
    let bufferedBytes = 0;
    const ended = (answer: ResponseBuffer): void => {
        if (answers.delete(answer)) {
            bufferedBytes -= answer.bytes();
        }
    };
    const largest = (): ResponseBuffer => [...answers].reduce((most, answer) => answer.bytes() > most.bytes() ? answer : most);
    return {
        add: answer => void answers.add(answer),
        recordBytes: bytes => {
            bufferedBytes += bytes;
            while (bufferedBytes > maxBytes && answers.size > 0) {
                const answer = largest();
                ended(answer);
                answer.abort(`answers being received hold more than ${maxBytes} bytes together; this is the largest`);
            }
        },
        remove: ended,
    };
}
