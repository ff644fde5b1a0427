/** Socket for datagrams between entries, as a port and over UDP. */
import { createSocket } from "node:dgram";

export interface DatagramSocket {
    /** Resolves when the socket receives on `address` (`host:port`); rejects if it can't be bound. */
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
    let reportError: DatagramListeners["onError"] = () => {};
    return {
        bind: (address, { onDatagram, onError }) =>
            new Promise((resolve, reject) => {
                const [host, port] = address.split(":");
                reportError = onError;
                socket.once("error", reject);
                socket.bind(Number(port), host, () => {
                    socket.off("error", reject);
                    socket.on("error", error => onError(error.message, undefined));
                    resolve();
                });
                socket.on("message", (bytes, { address: senderHost, port: senderPort }) =>
                    onDatagram(bytes, `${senderHost}:${senderPort}`));
            }),
        send: (address, bytes) => {
            const [host, port] = address.split(":");
            socket.send(bytes, Number(port), host, error => {
                if (error !== null) {
                    reportError(error.message, address);
                }
            });
        },
        close: () => socket.close(),
    };
}
