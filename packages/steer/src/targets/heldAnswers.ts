/**
 * Bytes of answers that have begun and not ended. A target in trouble may send without end; what all such answers hold
 * together stays bounded, and the largest is given up first.
 */

/** One answer that is being received. */
export interface HeldAnswer {
    readonly bytes: () => number;
    readonly giveUp: (reason: string) => void;
}

export interface HeldAnswers {
    begun(answer: HeldAnswer): void;
    /** Bytes came for one of the answers. */
    grown(bytes: number): void;
    /** Whole, broken or given up: its bytes are no longer counted. */
    ended(answer: HeldAnswer): void;
}

export function createHeldAnswers(mostBytes: number): HeldAnswers {
    const answers = new Set<HeldAnswer>();
    let held = 0;
    const ended = (answer: HeldAnswer): void => {
        if (answers.delete(answer)) {
            held -= answer.bytes();
        }
    };
    const largest = (): HeldAnswer => [...answers].reduce((most, answer) => answer.bytes() > most.bytes() ? answer : most);
    return {
        begun: answer => void answers.add(answer),
        grown: bytes => {
            held += bytes;
            while (held > mostBytes && answers.size > 0) {
                const answer = largest();
                ended(answer);
                answer.giveUp(`answers being received hold more than ${mostBytes} bytes together; this is the largest`);
            }
        },
        ended,
    };
}
