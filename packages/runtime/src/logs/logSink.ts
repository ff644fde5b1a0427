/**
 * Writes log lines to a file descriptor without ever waiting for its reader: what a slow reader leaves unread is kept
 * up to a bound, then dropped and counted.
 */
import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";

export type LogSink = (line: string) => void;

/** Bytes kept for a reader that lags. */
const maxPendingBytes = 256 * 1024;

/** `dropped` is told of each line that is left out. */
export function createLogSink(descriptor: number, onDropped: () => void): LogSink {
    const stats = fstatSync(descriptor);
    if (!stats.isFIFO() && !stats.isSocket()) {
        return line => {
            try {
                writeSync(descriptor, line);
            }
            catch {
                onDropped();
            }
        };
    }
    const socket = new Socket({ fd: descriptor, readable: false, writable: true });
    socket.unref();
    socket.on("error", () => {
        // The reader left: lines are dropped from now on, which is counted below.
    });
    return line => {
        if (socket.destroyed || socket.writableLength > maxPendingBytes) {
            onDropped();
            return;
        }
        socket.write(line);
    };
}
