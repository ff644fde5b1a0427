/** The deployment's build command, run over what earlier builds and installations left. */
import assert from "node:assert/strict";
import { execFileSync, spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readdirSync, readFileSync, rmSync, statSync, utimesSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../../..", import.meta.url));
const command = /^build = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))![1]!;
/** Packages come from npm's cache, which the installation of this working copy has filled. */
const offline = { npm_config_offline: "true" };
let folder: string;

/** A complete installation, to which each test returns. */
const completeModules = (): string => join(folder, "complete");

function restoreInstallation(): void {
    rmSync(join(folder, "node_modules"), { recursive: true, force: true });
    execFileSync("cp", ["-al", completeModules(), join(folder, "node_modules")]);
}

before(() => {
    folder = mkdtempSync(join(tmpdir(), "pimento-build-"));
    execFileSync("git", ["clone", "--quiet", root, folder]);
    execFileSync("npm", ["ci", "--include=dev", "--silent"], { cwd: folder, env: { ...process.env, ...offline } });
    execFileSync("cp", ["-a", join(folder, "node_modules"), completeModules()]);
});
after(() => rmSync(folder, { recursive: true }));

function build(environment: Readonly<Record<string, string>> = {}): { readonly status: number | null; readonly output: string; } {
    const { status, stdout, stderr } = spawnSync("sh", ["-c", command], {
        cwd: folder,
        env: { ...process.env, ...offline, ...environment },
        encoding: "utf8",
    });
    return { status, output: stdout + stderr };
}

const program = (): string => join(folder, "target/pimento-steer.cjs");

function assertBuilds(environment?: Readonly<Record<string, string>>): void {
    const { status, output } = build(environment);
    assert.equal(status, 0, output);
    assert.deepEqual(readdirSync(join(folder, "target")), ["main.js", "pimento-steer.cjs"], "it leaves other files behind");
    const { status: runStatus, stdout } = spawnSync(process.execPath, [program()], { env: {}, encoding: "utf8" });
    assert.equal(runStatus, 3, stdout);
    assert.match(stdout, /PIMENTOSPRING_CONFIG/);
}

const removeAll = (path: string): void => rmSync(join(folder, path), { recursive: true, force: true });

function makeNewer(path: string): void {
    const soon = new Date(Date.now() + 1_000);
    utimesSync(join(folder, path), soon, soon);
}

const leftovers: readonly { readonly what: string; readonly prepare: () => void; }[] = [
    { what: "a clean checkout", prepare: () => removeAll("node_modules") },
    { what: "an installation that is complete", prepare: () => {} },
    {
        what: "an empty node_modules that is newer than the lock file",
        prepare: () => {
            removeAll("node_modules");
            execFileSync("mkdir", [join(folder, "node_modules")]);
            makeNewer("node_modules");
        },
    },
    {
        what: "an installation that lacks a package",
        prepare: () => {
            removeAll("node_modules/undici");
            makeNewer("node_modules");
        },
    },
    {
        what: "an installation for another kind of processor",
        prepare: () => {
            const [own] = readdirSync(join(folder, "node_modules/@esbuild"));
            execFileSync("mv", [join(folder, "node_modules/@esbuild", own!), join(folder, "node_modules/@esbuild/other-kind")]);
            makeNewer("node_modules");
        },
    },
];

for (const { what, prepare } of leftovers) {
    // The command must not depend on what an earlier build left.
    test(`the deployment builds over ${what}`, () => {
        restoreInstallation();
        prepare();
        assertBuilds();
    });
}

// esbuild is a dev dependency.
test("the deployment builds in a clean checkout with NODE_ENV=production", () => {
    removeAll("node_modules");
    assertBuilds({ NODE_ENV: "production" });
});

// A process that starts meanwhile must not read half a file, nor none.
test("a build that fails says so, ends with another code than 0, and leaves the program of the one before", () => {
    restoreInstallation();
    assertBuilds();
    const source = join(folder, "platform/src/main.ts");
    const text = readFileSync(source, "utf8");
    const programBefore = statSync(program()).ino;
    writeFileSync(source, "import \"./nothing.js\";\n");
    const { status, output } = build();
    writeFileSync(source, text);
    assert.notEqual(status, 0);
    assert.match(output, /build of the deployment: the bundle failed/);
    assert.ok(existsSync(program()));
    assert.equal(statSync(program()).ino, programBefore);
});

// Renamed into place, the new program is another file; one that runs keeps the old.
test("a build replaces the program as a whole", () => {
    restoreInstallation();
    assertBuilds();
    const programBefore = statSync(program()).ino;
    assertBuilds();
    assert.notEqual(statSync(program()).ino, programBefore);
});
