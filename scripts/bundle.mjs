/** Bundles the steering daemon (`platform/`) into a single file, which starts faster than separate modules. */
import { build } from "esbuild";

await build({
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
});
