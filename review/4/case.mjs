/** Some servers spoil the first line of a few answers. Each request must still get an answer in its route's time. */
import { play } from "../lib/deployment.mjs";
import { sendRequests, startDaemons, startService } from "../lib/load.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const recordFile = new URL("record.txt", import.meta.url);
const serverCount = 12;
/** `garble`: a third of the servers, and 2 in 100 of their answers. */
const garblingServers = 4;
const answersPerSpoiltOne = 50;
const garbleMs = 5_300;
const requestsPerSecond = 400;
const checks = { timeoutMs: 1_200, deadlineMs: 2_000 };
const redeems = { timeoutMs: 1_500, deadlineMs: 2_500 };
/** By how much an answer may be later than its route's timeout. */
const slackMs = 500;

/** An answer that is no response: a control character stands in the reason phrase of its first line. */
const spoiltLine = "200 O\x0b";

const timeoutOf = ({ id }) => (id.startsWith("redeem") ? redeems : checks).timeoutMs;

async function run(deployment, record) {
    /** Answers of the servers that spoil some. */
    let answers = 0;
    await startService(
        { store: deployment.store, service: "tokens", count: serverCount, slots: 4, workMs: 60, record },
        index => {
            const answer = (request, body, format) => {
                if (!hasTrouble || index >= garblingServers || ++answers % answersPerSpoiltOne !== 0) {
                    return undefined;
                }
                record("server", `i-tokens-${index}`, "spoils its answer to", request.id);
                return format(spoiltLine, request.id, body, { "X-Server-Stamp": "stamp" });
            };
            return { answer };
        },
    );
    await startDaemons(deployment, [
        { prefix: "/check/", kind: "safe", service: "tokens", timeout: `${checks.timeoutMs}ms`, targetLatency: "300ms" },
        { prefix: "/redeem/", kind: "unsafe", service: "tokens", timeout: `${redeems.timeoutMs}ms`, targetLatency: "400ms" },
    ]);
    const outcomes = await sendRequests({
        deployment,
        record,
        perSecond: requestsPerSecond,
        durationMs: garbleMs,
        requestOf: number =>
            number % 3 === 0
                ? { id: `redeem-${number}`, method: "POST", path: "/redeem/1", body: "one token", deadlineMs: redeems.deadlineMs }
                : { id: `check-${number}`, path: "/check/1", deadlineMs: checks.deadlineMs },
    });
    const atTimeout = outcomes.filter(outcome => outcome.tookMs > timeoutOf(outcome));
    const unanswered = atTimeout.filter(outcome => outcome.tookMs > timeoutOf(outcome) + slackMs);
    record(`${outcomes.length} requests, ${atTimeout.length} unanswered at the timeout, ${unanswered.length} also ${slackMs} ms later`);
    const others = outcomes.filter(outcome => !atTimeout.includes(outcome)).map(({ tookMs }) => tookMs);
    record(`the slowest of the others took ${Math.max(...others).toFixed(0)} ms`);
    return unanswered.length > atTimeout.length / 2
        ? unanswered.map(({ id }) => `CONFIG ${id}: no answer ${slackMs} ms after its route's timeout`)
        : [];
}

await play({ recordFile, hasTrouble, run });
