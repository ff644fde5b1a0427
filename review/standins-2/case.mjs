/** Frame of a case: its record, its time limit and its exit code. */
import { createWriteStream } from "node:fs";
import { fileURLToPath } from "node:url";

/** 1: the rule was broken, 0: it held, 2: the case couldn't run. */
const exitCodes = { held: 0, broken: 1, notRun: 2 };
const timeLimitMs = 118_000;

export const delay = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Resolves to whether the condition held within the time. */
export async function until(condition, limitMs) {
    const endAt = performance.now() + limitMs;
    while (!await condition()) {
        if (performance.now() > endAt) {
            return false;
        }
        await delay(25);
    }
    return true;
}

/**
 * Runs a case. `hasTrouble` tells whether it is played with its disruption. `play` gets `say`, which writes a line to the record and to the output, `note`, which writes to the
 * record only, and `onEnd`, which takes what is to be closed. It resolves to the number of times that the rule was broken.
 */
export function runCase(url, hasTrouble, play) {
    const startedAt = performance.now();
    const record = createWriteStream(fileURLToPath(new URL("record.txt", url)));
    const closers = [];
    const note = text => record.write(`${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}\n`);
    const say = text => {
        note(text);
        console.log(text);
    };
    const end = async code => {
        await Promise.allSettled(closers.map(close => close()));
        record.end(() => process.exit(code));
    };
    setTimeout(() => {
        say("the case took too long");
        void end(exitCodes.notRun);
    }, timeLimitMs);
    // Ends with the processes that it started, as `exit` does.
    ["SIGINT", "SIGTERM"].forEach(signal => process.once(signal, () => process.exit(exitCodes.notRun)));
    say(hasTrouble ? "with the disruption" : "without the disruption");
    play({ say, note, onEnd: close => closers.push(close) }).then(
        brokenCount => {
            say(brokenCount > 0 ? `rule broken: ${brokenCount} times` : "the rule held");
            return end(brokenCount > 0 ? exitCodes.broken : exitCodes.held);
        },
        error => {
            say(`couldn't run: ${error.stack}`);
            return end(exitCodes.notRun);
        },
    );
}
