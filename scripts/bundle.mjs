/** Bundles the steering daemon (`platform/`) into a single file, which starts faster than separate modules. */
import { build } from "esbuild";
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

const { outputFiles } = await build({
    entryPoints: { "pimento-steer": "platform/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    minify: false,
    platform: "node",
    target: "node20",
    format: "esm",
    conditions: ["source"],
    // Bundled CommonJS dependencies call `require` for Node's built-in modules, which an ES module doesn't define.
    banner: {
        js: "import { createRequire as moduleRequire } from \"node:module\"; const require = moduleRequire(import.meta.url);",
    },
    logLevel: "warning",
    write: false,
});

/** A process that starts meanwhile reads the program of before or the new one, never a part. */
function replaceFile(path, contents) {
    mkdirSync(dirname(path), { recursive: true });
    const temporaryPath = join(dirname(path), `.${basename(path)}.${process.pid}`);
    writeFileSync(temporaryPath, contents);
    renameSync(temporaryPath, path);
}

outputFiles.forEach(({ path, contents }) => replaceFile(path, contents));
