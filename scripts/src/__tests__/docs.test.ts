import { clientSettings } from "@pimentospring/client/settings/settings";
import { consoleSettings } from "@pimentospring/console/settings/settings";
import { toDataCentreId, toRegionId } from "@pimentospring/core/ids";
import { createRandom } from "@pimentospring/core/random/random";
import { createVirtualTimer } from "@pimentospring/core/time/virtualTimer";
import { createMetrics } from "@pimentospring/entry/observe/metrics";
import { entrySettings } from "@pimentospring/entry/settings/settings";
import { platformSettingsSchema } from "@pimentospring/platform/settings";
import { silentLog } from "@pimentospring/runtime/logs/log";
import { createCountedTimer } from "@pimentospring/runtime/time/countedTimer";
import { createSteerMetrics } from "@pimentospring/steer/observe/metrics";
import { defaultTransferPrices } from "@pimentospring/steer/settings/settings";
import { createSteeringDaemon } from "@pimentospring/steer/steer";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { generatedPages, readPage } from "../docs.js";

test("the generated pages of result codes and log events are up to date (npm run docs)", () => {
    for (const [path, text] of Object.entries(generatedPages())) {
        assert.equal(readFileSync(path, "utf8"), text, path);
    }
});

interface ObjectSchema {
    readonly entries?: Readonly<Record<string, ObjectSchema>>;
    readonly wrapped?: ObjectSchema;
    readonly item?: ObjectSchema;
}

/** Dotted paths of all settings in a schema. */
function settingKeys(schema: ObjectSchema, prefix: string): string[] {
    const entries = schema.entries ?? schema.wrapped?.entries ?? schema.item?.entries;
    return entries === undefined
        ? [prefix]
        : Object.entries(entries).flatMap(([key, value]) => settingKeys(value, prefix === "" ? key : `${prefix}.${key}`));
}

test("the reference documents every setting of the entry, the console and the client", () => {
    const page = readPage("settings.md");
    const schemas = { entry: entrySettings, console: consoleSettings, client: clientSettings };
    const missing = Object.entries(schemas).flatMap(([program, schema]) =>
        settingKeys(schema as unknown as ObjectSchema, "").filter(key =>
            !page.split(`## pimento${program === "client" ? "" : `-${program}`}\n`)[1]!.split("\n## ")[0]!.includes(
                `| \`${key}\` |`,
            )
        )
            .map(key => `${program}: ${key}`)
    );
    assert.deepEqual(missing, []);
});

test("the reference documents every setting of the steering daemon", () => {
    const section = readPage("settings.md").split("## pimento-steer")[1]!;
    const keys = settingKeys(platformSettingsSchema as unknown as ObjectSchema, "");
    assert.deepEqual(keys.filter(key => !section.includes(`| \`${key}\` |`)), []);
});

const [entryMetrics, steerMetrics] = readPage("metrics.md").split("## pimento-steer") as [string, string];
const documentedMetrics = (section: string): string[] =>
    [...section.matchAll(/\| `(pimento_\w+)` \|/g)].map(found => found[1]!).sort();
const exportedMetrics = (text: string): string[] => [...text.matchAll(/# HELP (pimento_\w+)/g)].map(found => found[1]!).sort();

test("the reference documents exactly the metrics of an entry", async () => {
    const metrics = createMetrics(() => ({ status: () => ({ revision: 0, services: [], peers: [] }) }) as never);
    assert.deepEqual(documentedMetrics(entryMetrics), exportedMetrics(await metrics.text()));
});

test("the reference documents exactly the metrics of the steering daemon", async () => {
    const metrics = createSteerMetrics();
    const location = { dataCentre: toDataCentreId("a"), region: toRegionId("a") };
    createSteeringDaemon({
        settings: {
            name: "a",
            ...location,
            regions: new Map(),
            callers: "127.0.0.1:1",
            mesh: "127.0.0.1:1",
            control: "127.0.0.1:1",
            seeds: [],
            repeats: { ratio: 0, slack: 0, windowMs: 1 },
            cold: { overshoot: 1, slack: 0 },
            regionShift: 0,
            revocation: { maxContactAgeMs: 1, isStrict: false },
            quota: { windowMs: 1, overshoot: 0, slack: 0 },
            maxLoopUtilization: 0.9,
            stopGraceMs: 1,
            prices: defaultTransferPrices,
            limits: { memoryBytes: 1, fileDescriptors: 1 },
        },
        store: {} as never,
        itemDecoder: {} as never,
        headerCodec: {} as never,
        timer: createCountedTimer(createVirtualTimer()),
        random: createRandom(1),
        log: silentLog,
        metrics,
        takeLoopUtilization: () => 0,
    });
    assert.deepEqual(documentedMetrics(steerMetrics), exportedMetrics(await metrics.render()));
});
