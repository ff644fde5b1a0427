/**
 * Builds what `deploy/system.toml` runs. Dependencies are installed first unless a complete installation, at least as new as the
 * lock file, can make the bundle: one that was cut, or made for another kind of processor, can't.
 */
import { spawnSync } from "node:child_process";
import { statSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const root = dirname(dirname(fileURLToPath(import.meta.url)));

function modifiedAt(path) {
    return statSync(join(root, path), { throwIfNoEntry: false })?.mtimeMs ?? -Infinity;
}

/** npm writes this file last. */
const isInstalled = () => modifiedAt("node_modules/.package-lock.json") >= modifiedAt("package-lock.json");

function run(command, args, stdio) {
    const { status, signal, error } = spawnSync(command, args, { cwd: root, stdio });
    return status === 0 ? undefined : error?.message ?? (signal === null ? `exit code ${status}` : signal);
}

/** The bundle is made in a process of its own, as a module that can't be loaded would end this one. */
const bundle = stdio => run(process.execPath, [join("scripts", "bundle.mjs")], stdio);

function fail(step, reason) {
    console.error(`build of the deployment: ${step} failed (${reason})`);
    process.exit(1);
}

if (!isInstalled() || bundle("ignore") !== undefined) {
    // Build tools are dev dependencies, which npm leaves out where NODE_ENV is production.
    const installFailure = run("npm", ["ci", "--include=dev", "--silent"], "inherit");
    if (installFailure !== undefined) {
        fail("npm ci", installFailure);
    }
    const bundleFailure = bundle("inherit");
    if (bundleFailure !== undefined) {
        fail("the bundle", bundleFailure);
    }
}
