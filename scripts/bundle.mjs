/**
 * Bundles the steering daemon (`platform/`), which starts faster than separate modules: its entry point, and everything
 * else in a second file, so that the entry point's signal handlers don't wait for it.
 */
import { build } from "esbuild";

const options = {
    outdir: "target",
    bundle: true,
    minify: false,
    platform: "node",
    target: "node20",
    conditions: ["source"],
    logLevel: "warning",
};
await build({
    ...options,
    format: "esm",
    entryPoints: { main: "platform/src/main.ts" },
    // Bundled CommonJS dependencies call `require` for Node's built-in modules, which an ES module doesn't define.
    banner: {
        js: "import { createRequire as moduleRequire } from \"node:module\"; const require = moduleRequire(import.meta.url);",
    },
});
await build({
    ...options,
    // Node runs a CommonJS entry point before it loads anything for ES modules.
    format: "cjs",
    entryPoints: { "pimento-steer": "platform/src/start.ts" },
    outExtension: { ".js": ".cjs" },
    external: ["./main.js"],
});
