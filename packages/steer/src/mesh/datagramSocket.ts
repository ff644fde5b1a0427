/** Socket for datagrams between entries, as a port and over UDP. */
import { splitAddress } from "@pimentospring/runtime/http/jsonServer";
import { createSocket } from "node:dgram";

export interface DatagramSocket {
    /** Resolves when the socket receives on `address` (`host:port`). Rejects if it can't be bound; it may then be tried again. */
    bind(address: string, listeners: DatagramListeners): Promise<void>;
    send(address: string, bytes: Buffer): void;
    close(): void;
}

export interface DatagramListeners {
    /** `sender` is the address that the datagram came from. */
    readonly onDatagram: (bytes: Buffer, sender: string) => void;
    /** `peer` is the address that a datagram could not be sent to. */
    readonly onError: (reason: string, peer: string | undefined) => void;
}

export function createUdpSocket(): DatagramSocket {
    const socket = createSocket("udp4");
    let listeners: DatagramListeners = { onDatagram: () => {}, onError: () => {} };
    socket.on("message", (bytes, { address, port }) => listeners.onDatagram(bytes, `${address}:${port}`));
    const sendTo = (address: string, bytes: Buffer): void => {
        const { host, port } = splitAddress(address);
        socket.send(bytes, port, host, error => {
            if (error !== null) {
                listeners.onError(error.message, address);
            }
        });
    };
    return {
        bind: (address, next) =>
            new Promise((resolve, reject) => {
                const { host, port } = splitAddress(address);
                listeners = next;
                socket.once("error", reject);
                socket.bind(port, host, () => {
                    socket.off("error", reject);
                    socket.on("error", error => listeners.onError(error.message, undefined));
                    resolve();
                });
            }),
        send: (address, bytes) => {
            try {
                sendTo(address, bytes);
            }
            catch (error) {
                // An address that is none, or a closed socket: nothing that the datagrams to other peers depend on.
                listeners.onError((error as Error).message, address);
            }
        },
        close: () => socket.close(),
    };
}
