/**
 * Hands what a connection receives to the runtime's parser in pieces. The parser makes a request or a chunk of everything in a read,
 * thousands from a single one, so that a read may take tens of milliseconds.
 */
import type { Socket } from "node:net";

export interface ConnectionReader {
    /** Whether there is a piece to hand over now. */
    hasPiece(): boolean;
    /** Hands over a piece. */
    parsePiece(): void;
    /** Reads on or pauses the connection, as no piece is left to hand over now. */
    settle(): void;
    /** Bytes that the parser has got. */
    parsedBytes(): number;
    /** Bytes that were read and that the parser has yet to get. */
    heldBytes(): number;
    /** Drops what was and will be received. The connection is still read, so that its caller's end is noticed. */
    discard(): void;
    /** Whether the connection is paused because of its requests or of what it holds. */
    isPaused(): boolean;
}

export interface ConnectionReaderOptions {
    readonly socket: Socket;
    /** Whether the connection may hand over more. */
    readonly mayRead: () => boolean;
    /** Requests begun so far. */
    readonly requestCount: () => number;
    /** Duration of the latest step in which a piece was handed over. */
    readonly lastStepMs: () => number;
    /** Called when there may be a piece to hand over. */
    readonly onInput: () => void;
    /** Told by how much the held bytes change. */
    readonly onHeld: (bytes: number) => void;
}

/** Bytes of a piece. The number doubles, up to the maximum, while no request begins in them and they are parsed fast. */
const minPieceBytes = 2_048;
const maxPieceBytes = 8_192;
const maxPieceMs = 1;

const noBytes: Buffer = Buffer.alloc(0);

export function createConnectionReader(options: ConnectionReaderOptions): ConnectionReader {
    const { socket, mayRead, requestCount, onInput, onHeld } = options;
    const parse = socket.listeners("data")[0] as (data: Buffer) => void;
    let rest = noBytes;
    let pieceBytes = minPieceBytes;
    let isPaused = false;
    let isDiscarding = false;
    let parsedBytes = 0;

    const isParsed = (): boolean => !isDiscarding && !socket.destroyed && socket.listenerCount("data", onData) > 0;
    const setRest = (next: Buffer): void => {
        onHeld(next.length - rest.length);
        rest = next;
    };
    const hasPiece = (): boolean => rest.length > 0 && mayRead() && isParsed();
    const nextPieceBytes = (requestsBefore: number): number => {
        const isCheap = requestCount() === requestsBefore && options.lastStepMs() <= maxPieceMs;
        return isCheap ? Math.min(maxPieceBytes, 2 * pieceBytes) : minPieceBytes;
    };
    const pause = (): void => {
        if (!socket.isPaused()) {
            isPaused = true;
            socket.pause();
        }
    };
    const parsePiece = (): void => {
        const requestsBefore = requestCount();
        const piece = rest.subarray(0, pieceBytes);
        setRest(rest.length === piece.length ? noBytes : rest.subarray(piece.length));
        parsedBytes += piece.length;
        parse(piece);
        pieceBytes = nextPieceBytes(requestsBefore);
    };
    const settle = (): void => {
        if (!isParsed()) {
            setRest(noBytes);
            return;
        }
        const isReadable = rest.length === 0 && mayRead();
        if (!isReadable) {
            pause();
        }
        else if (isPaused) {
            isPaused = false;
            socket.resume();
        }
    };
    /** The runtime resumes the connection whenever a part of a body is read. */
    const onResume = (): void => {
        if (rest.length > 0) {
            pause();
        }
        onInput();
    };
    const onData = (data: Buffer): void => {
        if (isDiscarding) {
            return;
        }
        setRest(rest.length === 0 ? data : Buffer.concat([rest, data]));
        onInput();
        settle();
    };
    socket.off("data", parse);
    socket.on("data", onData);
    socket.on("resume", onResume);
    socket.once("close", () => setRest(noBytes));
    return {
        hasPiece,
        parsePiece,
        settle,
        parsedBytes: () => parsedBytes,
        heldBytes: () => rest.length,
        discard: () => {
            isDiscarding = true;
            isPaused = false;
            setRest(noBytes);
            socket.resume();
        },
        isPaused: () => isPaused,
    };
}
