/** The renderer of the platform's templates, and the deployed template rendered with it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { parse } from "smol-toml";
import { regionByDataCentre, renderSettings } from "../daemonSettings.js";
import { readDeployment } from "../deployment.js";
import { renderTemplate } from "../template.js";

const fields = {
    name: "one",
    ports: [7, 8],
    zones: { "cpt-a": "cpt", "jhb-a": "jhb" },
    bounds: { slack: 50, isSet: false },
    seeds: [],
};

const renderings: Readonly<Record<string, string>> = {
    "{{name}}:{{ports.1}}": "one:8",
    "{{name|json}} {{ports|json}} {{ports}}": "\"one\" [7,8] 7,8",
    "{{#zones}}{{@}}={{.|json}};{{/zones}}": "cpt-a=\"cpt\";jhb-a=\"jhb\";",
    "{{#bounds.slack}}{{.}} of {{name}}{{/bounds.slack}}": "50 of one",
    "{{#bounds.isSet}}set{{/bounds.isSet}}{{#bounds.none}}set{{/bounds.none}}{{none}}": "",
    "{{#seeds.0}}seeds{{/seeds.0}}{{^bounds.isSet}}not set{{/bounds.isSet}}": "not set",
};

for (const [template, text] of Object.entries(renderings)) {
    test(`the template ${template} renders as the platform's page says`, () => {
        assert.equal(renderTemplate(template, fields), text);
    });
}

test("a section without an end is refused", () => {
    assert.throws(() => renderTemplate("{{#zones}}", fields), /no counterpart/);
});

test("the deployed template renders to a settings file with the addresses and the data centres of a daemon", () => {
    const placement = { name: "entry-cpt-a", host: "127.0.1.1", firstPort: 17_510, dataCentre: "cpt-a", region: "cpt" };
    const settings = { placement, storeAddress: "127.0.1.9:1", seeds: ["127.0.1.2:17513"], retrySlack: 49 };
    const file = parse(renderSettings(readDeployment().template, settings)) as Record<string, Record<string, unknown>>;
    assert.deepEqual({ ...file["regions"] }, regionByDataCentre);
    assert.equal(file["listen"]!["callers"], "127.0.1.1:17510");
    assert.equal(file["bounds"]!["retrySlack"], 49);
});
