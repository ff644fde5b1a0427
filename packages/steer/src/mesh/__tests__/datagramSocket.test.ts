/** The mesh's socket, with addresses that it can't bind or send to. */
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { test } from "node:test";
import { createUdpSocket } from "../datagramSocket.js";

// An exception would leave out the peers that follow in the same round of heartbeats.
test("a datagram to an address that is none is reported and not thrown, and the socket still sends", async t => {
    const receiver = createSocket("udp4").bind(0, "127.0.141.1");
    await once(receiver, "listening");
    t.after(() => receiver.close());
    const errors: (string | undefined)[] = [];
    const socket = createUdpSocket();
    t.after(socket.close);
    await socket.bind("127.0.141.2:0", { onDatagram: () => {}, onError: (_reason, peer) => errors.push(peer) });
    assert.doesNotThrow(() => socket.send("127.0.0.1:99999", Buffer.from("lost")));
    const received = once(receiver, "message");
    socket.send(`127.0.141.1:${receiver.address().port}`, Buffer.from("arrives"));
    assert.equal(String((await received)[0]), "arrives");
    assert.deepEqual(errors, ["127.0.0.1:99999"]);
});

// Another process may hold the port for a while.
test("a socket whose port was in use can be bound once it is free", async t => {
    const holder = createSocket("udp4").bind(0, "127.0.141.1");
    await once(holder, "listening");
    const address = `127.0.141.1:${holder.address().port}`;
    const received: string[] = [];
    const socket = createUdpSocket();
    t.after(socket.close);
    const listeners = { onDatagram: (bytes: Buffer) => received.push(String(bytes)), onError: () => {} };
    await assert.rejects(socket.bind(address, listeners), /EADDRINUSE/);
    holder.close();
    await once(holder, "close");
    await socket.bind(address, listeners);
    socket.send(address, Buffer.from("once"));
    socket.send(address, Buffer.from("last"));
    const giveUpAt = performance.now() + 5_000;
    while (received.at(-1) !== "last" && performance.now() < giveUpAt) {
        await new Promise(resolve => setTimeout(resolve, 10));
    }
    assert.deepEqual(received, ["once", "last"]);
});
