/** The console's settings. */
import { addressSetting, keySetting, logSettings, platformSettings } from "@pimentospring/runtime/settings/settings";
import * as v from "valibot";

const operator = v.strictObject({
    /** Name recorded with each change. */
    name: v.pipe(v.string(), v.regex(/^[\w.@-]{1,64}$/, "must be 1 to 64 letters, digits and . @ - _")),
    /** Token that the operator signs in with, at least 16 characters. */
    token: keySetting,
});

export const consoleSettings = v.strictObject({
    /** Address to listen on. */
    listen: addressSetting,
    /** Key that signs session cookies; identical on all consoles, so that any of them can serve the next request. */
    sessionKey: keySetting,
    operators: v.pipe(v.array(operator), v.minLength(1, "must name at least one operator")),
    platform: platformSettings,
    log: v.optional(logSettings, {}),
});

export type ConsoleSettings = v.InferOutput<typeof consoleSettings>;
