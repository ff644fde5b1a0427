/**
 * Runs every compiled test with node:test; a test is `__tests__/<name>.test.ts` beside the code. Tests that
 * KNOWN-RED.txt names run too, and may fail; one of them that passes has to leave the list.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { run } from "node:test";
import { spec } from "node:test/reporters";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));
const only = process.argv[2] ?? "";

function* testFiles(folder) {
    for (const entry of readdirSync(folder, { withFileTypes: true })) {
        const path = join(folder, entry.name);
        if (entry.isDirectory() && entry.name !== "node_modules" && entry.name !== "src") {
            yield* testFiles(path);
        }
        // A compiled test whose source is gone must not run.
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

/** Titles of the tests that are known to fail: lines `test "TITLE" | command, seed | what was seen | issue`. */
function knownRed() {
    const lines = readFileSync(join(root, "KNOWN-RED.txt"), "utf8").split("\n");
    return new Set(lines.flatMap(line => /^test "(.+?)" \|/.exec(line)?.[1] ?? []));
}

const folders = ["packages", "platform", "scripts", "bench"].map(name => join(root, name));
const files = folders.flatMap(folder => [...testFiles(folder)]).filter(file => file.includes(only)).sort();
const red = knownRed();
const seen = { failed: [], redFailed: [], redPassed: [], passed: 0 };

const stream = run({ files, concurrency: 4 });
stream.on("test:pass", ({ name }) => {
    seen.passed++;
    if (red.has(name)) {
        seen.redPassed.push(name);
    }
});
stream.on("test:fail", ({ name }) => {
    (red.has(name) ? seen.redFailed : seen.failed).push(name);
});
stream.on("end", () => {
    seen.redFailed.forEach(name => console.log(`known red: ${name}`));
    seen.redPassed.forEach(name => console.log(`listed in KNOWN-RED.txt but passed: ${name}`));
    const unexpected = seen.failed.length + seen.redPassed.length;
    console.log(`${seen.passed - seen.redPassed.length} passed, ${unexpected} failed`);
    process.exitCode = unexpected === 0 && seen.passed + seen.redFailed.length > 0 ? 0 : 1;
});
stream.compose(new spec()).pipe(process.stdout);
