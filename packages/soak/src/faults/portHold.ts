/** Holds an address as another process would: connections to it are closed, datagrams are ignored. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import net from "node:net";

/** Returns a function that releases the address. Where it is in use already, it is left as it is. */
export async function holdAddress(address: string): Promise<() => void> {
    const [host, port] = address.split(":");
    const server = net.createServer(socket => socket.destroy());
    const socket = createSocket("udp4");
    server.on("error", () => undefined);
    socket.on("error", () => undefined);
    server.listen(Number(port), host);
    socket.bind(Number(port), host);
    const opened = [once(server, "listening"), once(socket, "listening")];
    await Promise.allSettled(opened);
    return () => {
        server.close();
        socket.close();
    };
}
