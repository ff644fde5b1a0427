import assert from "node:assert/strict";
import { test } from "node:test";
import { ticketLifetimeMs } from "../../constants.js";
import { toFingerprint, toInstanceId, toTicket } from "../../ids.js";
import { results } from "../../results/resultCode.js";
import { createVirtualTimer } from "../../time/virtualTimer.js";
import { createTicketRegistry } from "../ticketRegistry.js";

const key = "a key of the entries";
const redeem = toFingerprint("tokens POST /redeem/1");

function createBook() {
    const timer = createVirtualTimer();
    const book = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/run-1"), key });
    const content = book.verify(book.issue())!;
    return { timer, book, content };
}

test("a ticket runs its request once; the same request again gets the kept answer", () => {
    const { book, content } = createBook();
    const answer = { status: 200, contentType: "text/plain", body: Buffer.from("done") };
    assert.equal(book.spend(content, redeem).kind, "run");
    assert.deepEqual(book.spend(content, redeem), { kind: "refuse", result: results.inProgress });
    book.recordRan(content.serial, answer);
    assert.deepEqual(book.spend(content, redeem), { kind: "repeat", answer });
});

test("a request proved not run may run with the same ticket, but no other request may", () => {
    const { book, content } = createBook();
    book.spend(content, redeem);
    book.recordNotRun(content.serial);
    assert.deepEqual(book.spend(content, toFingerprint("other")), { kind: "refuse", result: results.ticketReused });
    assert.equal(book.spend(content, redeem).kind, "run");
});

test("a lost request never runs again, also not after a late word that it didn't run", () => {
    const { book, content } = createBook();
    book.spend(content, redeem);
    book.recordLost(content.serial);
    book.recordNotRun(content.serial);
    assert.deepEqual(book.spend(content, redeem), { kind: "refuse", result: results.outcomeUnknown });
});

test("an expired ticket never runs, spent or not, although the book forgets it", () => {
    const { timer, book, content } = createBook();
    book.spend(content, redeem);
    book.recordRan(content.serial, undefined);
    timer.advance(ticketLifetimeMs + 1000);
    assert.deepEqual(book.spend(content, redeem), { kind: "refuse", result: results.ticketExpired });
    const other = book.verify(book.issue())!;
    book.spend(other, redeem);
    assert.equal(book.spentCount(), 1);
});

test("a ticket that was changed or sealed with another key is refused", () => {
    const { timer, book } = createBook();
    const ticket = book.issue();
    assert.equal(book.verify(toTicket(ticket.replace("~2~", "~3~"))), undefined);
    const stranger = createTicketRegistry({ timer, self: toInstanceId("10.0.0.1:7000/run-1"), key: "another key" });
    assert.equal(book.verify(stranger.issue()), undefined);
    for (const bad of ["", "~~~", "a~1~2", `${ticket}~`]) {
        assert.equal(book.verify(toTicket(bad)), undefined);
    }
});
