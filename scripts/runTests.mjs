/**
 * `node scripts/runTests.mjs [part of a path]`: runs the compiled tests with node:test; their sources are
 * `__tests__/<name>.test.ts`. Files named `<name>.serial.test.ts` run after all others, one at a time: what they check needs the
 * machine for itself. Tests listed in KNOWN-RED.txt run too and may fail; if one of them passes, the run fails
 * until its entry is removed.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const pathFilter = process.argv[2] ?? "";

function* testFiles(folder) {
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory() && entry.name !== "node_modules" && entry.name !== "src") {
            yield* testFiles(path);
        }
        // Skips stale build output: compiled tests whose source has been deleted.
        else if (entry.name.endsWith(".test.js") && hasSource(path)) {
            yield path;
        }
    }
}

function hasSource(path) {
    try {
        readFileSync(path.replace("/dist/", "/src/").replace(/\.js$/, ".ts"));
        return true;
    }
    catch {
        return false;
    }
}

/** Titles of known failures, from lines such as `test "TITLE" | command, seed | observation | issue`. */
function readKnownFailures() {
    const lines = readFileSync(join(root, "KNOWN-RED.txt"), "utf8").split("\n");
    return new Set(lines.flatMap(line => /^test "(.+?)" \|/.exec(line)?.[1] ?? []));
}

const folders = ["packages", "platform", "scripts", "bench"].map(name => join(root, name));
const files = folders.flatMap(folder => [...testFiles(folder)]).filter(file => file.includes(pathFilter)).sort();
const knownFailures = readKnownFailures();
const outcomes = { failed: [], knownFailed: [], knownPassed: [], passed: 0 };

async function runFiles(group, concurrency) {
    if (group.length === 0) {
        return;
    }
    const stream = run({ files: group, concurrency });
    stream.on("test:pass", ({ name }) => {
        outcomes.passed++;
        if (knownFailures.has(name)) {
            outcomes.knownPassed.push(name);
        }
    });
    stream.on("test:fail", ({ name }) => {
        (knownFailures.has(name) ? outcomes.knownFailed : outcomes.failed).push(name);
    });
    const ended = new Promise(resolve => stream.once("end", resolve));
    stream.compose(new spec()).pipe(process.stdout, { end: false });
    await ended;
}

const isSerial = file => file.endsWith(".serial.test.js");
await runFiles(files.filter(file => !isSerial(file)), 4);
await runFiles(files.filter(isSerial), 1);
outcomes.knownFailed.forEach(name => console.log(`known red: ${name}`));
outcomes.knownPassed.forEach(name => console.log(`listed in KNOWN-RED.txt but passed: ${name}`));
const unexpected = outcomes.failed.length + outcomes.knownPassed.length;
console.log(`${outcomes.passed - outcomes.knownPassed.length} passed, ${unexpected} failed`);
process.exitCode = unexpected === 0 && outcomes.passed + outcomes.knownFailed.length > 0 ? 0 : 1;
