/** The deployment's settings template, rendered and read as the daemon reads it. */
import { platformSettingsSchema } from "@pimentospring/platform/settings";
import { checkSettings, parseSettings } from "@pimentospring/runtime/settings/settings";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { renderTemplate } from "./settingsTemplate.js";

const template = readFileSync(new URL("../../../deploy/settings.toml", import.meta.url), "utf8");

const fieldsWith = (zones: Readonly<Record<string, string>>): Readonly<Record<string, unknown>> => ({
    nodeName: "front-cpt-a-1",
    ip: "10.1.0.35",
    zone: Object.keys(zones)[0],
    region: "cpt",
    zones,
    listenAddresses: { front: "10.1.0.35:8144", ready: "10.1.0.35:8140", control: "10.1.0.35:8146", directory: "10.1.0.35:8143" },
    internalPortRange: [7_660, 7_675],
    seeds: ["10.1.0.35:8146"],
    bounds: { retryBudgetRatio: 0.2, retryBudgetSlack: 56, budgetWindow: "10s", gracePeriod: "6s" },
    platform: { address: "10.200.1.7:8142" },
});

// A bare TOML key has letters, digits, `-` and `_` only; a dot would open a table.
for (const zone of ["cpt-a", "cpt.a", "cpt a", "cpt'a", "kapstadt-ä", "1", "cpt#a"]) {
    test(`a data centre named ${zone} has its region in the rendered settings`, () => {
        const text = renderTemplate(template, [fieldsWith({ [zone]: "cpt", "jhb-a": "jhb" })]);
        const settings = parseSettings("settings.toml", text).andThen(raw =>
            checkSettings("settings.toml", raw, platformSettingsSchema)
        );
        assert.ok(settings.isOk, JSON.stringify(settings));
        assert.deepEqual(settings.value.regions, { [zone]: "cpt", "jhb-a": "jhb" });
        assert.equal(settings.value.dataCentre, zone);
        assert.equal(settings.value.bounds.retrySlack, 56);
    });
}
