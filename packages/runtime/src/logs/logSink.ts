/**
 * Writes log lines to a file descriptor without ever waiting for its reader: lines that a slow reader has not read are
 * buffered up to a limit, then dropped and counted.
 */
import { fstatSync, writeSync } from "node:fs";
import { Socket } from "node:net";

export type LogSink = (line: string) => void;

/** Buffer limit for a slow reader. */
const maxPendingBytes = 256 * 1024;

/** `onDropped` is called for each line that is dropped. */
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
        // The reader closed the pipe: from now on lines are dropped and counted below.
    });
    return line => {
        if (socket.destroyed || socket.writableLength > maxPendingBytes) {
            onDropped();
            return;
        }
        socket.write(line);
    };
}
