/** Bodies of responses, collected as they arrive. */

/**
 * A body in parts of about the size of a read. Blocks of a whole body's size would leave gaps in the allocator's heap once they are
 * freed, and be kept until the last byte is sent.
 */
export interface ResponseBody {
    readonly length: number;
    /** Hands the parts over, so that each can be dropped once it is sent; there are none left. */
    takeParts(): Buffer[];
    /** A copy in one place. */
    join(): Buffer;
}

export interface ResponseBodyCollector {
    add(chunk: Buffer): void;
    /** The body so far; nothing can be added afterwards. */
    take(): ResponseBody;
    /** Drops what was collected. */
    clear(): void;
}

/** Smaller chunks are copied together, as each has a cost besides its bytes and may keep the whole read that it is part of. */
const minPartBytes = 32 * 1_024;
const maxPartBytes = 64 * 1_024;
/** Room for the first chunks that are copied together. */
const minRoomBytes = 4 * 1_024;

export function createResponseBodyCollector(): ResponseBodyCollector {
    let parts: Buffer[] = [];
    /** Small chunks at the end of the body: the first as it came, or room with the bytes of several. */
    let room: Buffer = noRoom;
    let roomUsed = 0;
    const closeRoom = (): void => {
        if (roomUsed > 0) {
            parts.push(room.subarray(0, roomUsed));
            room = noRoom;
            roomUsed = 0;
        }
    };
    const addSmall = (chunk: Buffer): void => {
        const neededBytes = roomUsed + chunk.length;
        if (neededBytes > maxPartBytes) {
            closeRoom();
        }
        if (roomUsed === 0) {
            room = chunk;
            roomUsed = chunk.length;
            return;
        }
        if (neededBytes > room.length) {
            const larger = Buffer.allocUnsafeSlow(Math.min(maxPartBytes, Math.max(minRoomBytes, 2 * neededBytes)));
            room.copy(larger, 0, 0, roomUsed);
            room = larger;
        }
        chunk.copy(room, roomUsed);
        roomUsed = neededBytes;
    };
    const clear = (): void => {
        parts = [];
        room = noRoom;
        roomUsed = 0;
    };
    return {
        add: chunk => {
            if (chunk.length < minPartBytes) {
                addSmall(chunk);
                return;
            }
            closeRoom();
            parts.push(chunk);
        },
        take: () => {
            closeRoom();
            const body = createResponseBody(parts);
            clear();
            return body;
        },
        clear,
    };
}

const noRoom = Buffer.alloc(0);

export function createResponseBody(bodyParts: readonly Buffer[]): ResponseBody {
    let parts = [...bodyParts];
    return {
        length: parts.reduce((sum, part) => sum + part.length, 0),
        takeParts: () => {
            const taken = parts;
            parts = [];
            return taken;
        },
        join: () => parts.length === 1 ? parts[0]! : Buffer.concat(parts),
    };
}
