import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import * as v from "valibot";
import { addressSetting, keySetting, platformSettings, readSettings } from "../settings/settings.js";

const schema = v.strictObject({ listen: addressSetting, key: keySetting, platform: platformSettings });

function faultsOf(text: string): string[] {
    const folder = mkdtempSync(join(tmpdir(), "pimento-settings-"));
    const file = join(folder, "s.toml");
    writeFileSync(file, text);
    const faults = readSettings(file, schema).match({
        Ok: () => [],
        Err: found => found.map(fault => `${fault.key}: ${fault.text}`),
    });
    rmSync(folder, { recursive: true });
    return faults;
}

const validText =
    "listen = \"127.0.0.1:7000\"\nkey = \"0123456789abcdef\"\n[platform]\nstore = \"http://127.0.0.1:1\"\ninstances = \"http://127.0.0.1:1/i\"\n";

test("valid settings have no faults", () => {
    assert.deepEqual(faultsOf(validText), []);
});

test("every fault names its key, what is wrong and what is allowed", () => {
    const faults = faultsOf(
        validText.replace("127.0.0.1:7000", "localhost:7000").replace("0123456789abcdef", "short") + "extra = 1\ntimeoutMs = 5\n",
    );
    assert.deepEqual(faults, [
        "listen: must be an IPv4 address and port such as 127.0.0.1:7001",
        "key: must be at least 16 characters",
        "platform.timeoutMs: Invalid value: Expected >=100 but received 5",
        "platform.extra: is not a known key; remove it or correct its spelling",
    ]);
});

test("invalid TOML is reported with its place, and a missing key by its name", () => {
    assert.match(faultsOf("listen = \n")[0]!, /not valid TOML at line 1/);
    assert.ok(faultsOf("listen = \"127.0.0.1:1\"\n").some(fault => fault.startsWith("key: is missing")));
    assert.match(readSettings("/nowhere/x.toml", schema).match({ Ok: () => "", Err: found => found[0]!.text }), /can't be read/);
});
