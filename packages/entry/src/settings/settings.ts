/** The entry daemon's settings. */
import {
    addressSetting,
    keySetting,
    logSettings,
    platformSettings,
    traceSettings,
    urlSetting,
} from "@pimentospring/runtime/settings/settings";
import * as v from "valibot";

export const entrySettings = v.strictObject({
    /** Data centre of this entry, as the document names it. */
    dataCentre: v.pipe(v.string(), v.minLength(1)),
    callers: v.strictObject({
        /** Address of the HTTP server for callers. */
        listen: addressSetting,
        /** URL of this entry in look-up answers; default `http://<listen>`. */
        url: v.optional(urlSetting),
        /** Largest body of a request, in bytes. */
        maxBodyBytes: v.optional(v.pipe(v.number(), v.integer(), v.minValue(1024)), 64 * 1024 * 1024),
    }),
    mesh: v.strictObject({
        /** Address on which other entries connect. */
        listen: addressSetting,
        /** Key shared by all entries; at least 16 characters. */
        key: keySetting,
        /** Previous key, still accepted from other entries during key rotation. */
        previousKey: v.optional(keySetting),
        /** Mesh addresses of some entries, used until the platform's list is read. */
        seeds: v.optional(v.array(addressSetting), []),
    }),
    platform: platformSettings,
    /** Seed of the random number generator; default: a random seed. */
    seed: v.optional(v.pipe(v.number(), v.integer())),
    stop: v.optional(
        v.strictObject({
            /** Time for requests in flight to finish after SIGTERM, in milliseconds. */
            deadlineMs: v.optional(v.pipe(v.number(), v.integer(), v.minValue(0), v.maxValue(3_600_000)), 60_000),
        }),
        {},
    ),
    traces: v.optional(traceSettings, {}),
    log: v.optional(logSettings, {}),
});

export type EntrySettings = v.InferOutput<typeof entrySettings>;
