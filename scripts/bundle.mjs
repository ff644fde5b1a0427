/**
 * Bundles the steering daemon (`platform/`), which starts faster than separate modules: its entry point, and everything
 * else in a second file, so that the entry point's signal handlers don't wait for it.
 */
import { build } from "esbuild";
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

const options = {
    outdir: "target",
    bundle: true,
    minify: false,
    platform: "node",
    target: "node20",
    conditions: ["source"],
    logLevel: "warning",
    write: false,
};
const daemon = await build({
    ...options,
    format: "esm",
    entryPoints: { main: "platform/src/main.ts" },
    // Bundled CommonJS dependencies call `require` for Node's built-in modules, which an ES module doesn't define.
    banner: {
        js: "import { createRequire as moduleRequire } from \"node:module\"; const require = moduleRequire(import.meta.url);",
    },
});
const entryPoint = await build({
    ...options,
    // Node runs a CommonJS entry point before it loads anything for ES modules.
    format: "cjs",
    entryPoints: { "pimento-steer": "platform/src/start.ts" },
    outExtension: { ".js": ".cjs" },
    external: ["./main.js"],
});

/** A process that starts meanwhile reads the program of before or the new one, never a part. */
function replaceFile(path, contents) {
    mkdirSync(dirname(path), { recursive: true });
    const temporaryPath = join(dirname(path), `.${basename(path)}.${process.pid}`);
    writeFileSync(temporaryPath, contents);
    renameSync(temporaryPath, path);
}

// The entry point last: it loads the other file.
[...daemon.outputFiles, ...entryPoint.outputFiles].forEach(({ path, contents }) => replaceFile(path, contents));
