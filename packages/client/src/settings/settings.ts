/** Settings of the operator command line. */
import { logSettings, platformSettings, urlSetting } from "@pimentospring/runtime/settings/settings";
import * as v from "valibot";

export const clientSettings = v.strictObject({
    /** Name recorded with each change. Defaults to the `USER` environment variable. */
    operator: v.optional(v.pipe(v.string(), v.minLength(1))),
    platform: platformSettings,
    /** Seed entries, by the URL of their callers' interface, queried by `status` and `explain`; `status` discovers the others from them. */
    entries: v.pipe(v.array(urlSetting), v.minLength(1, "must name at least one entry")),
    log: v.optional(logSettings, {}),
});

export type ClientSettings = v.InferOutput<typeof clientSettings>;
