/** Detects changes of a settings file, validates it again and reports the new settings or their faults. */
import type { Timer } from "@pimentospring/core/time/timer";
import { readFileSync } from "node:fs";
import type * as v from "valibot";
import { readSettings, type SettingsFault } from "./settings.js";

export interface SettingsWatchOptions<Schema extends v.GenericSchema> {
    readonly timer: Timer;
    readonly file: string;
    readonly schema: Schema;
    /** Called when the file has changed and is valid. */
    readonly onChange: (settings: v.InferOutput<Schema>) => void;
    /** Called when the changed file is invalid; the settings in force stay. */
    readonly onInvalid: (faults: readonly SettingsFault[]) => void;
}

export interface SettingsWatch {
    /** Checks the file now; an unchanged file is ignored. */
    checkNow(): void;
}

/** A change is detected within this time even without a signal. */
const pollIntervalMs = 2_000;

export function createSettingsWatch<Schema extends v.GenericSchema>(options: SettingsWatchOptions<Schema>): SettingsWatch {
    const { file, schema } = options;
    const readText = (): string => {
        try {
            return readFileSync(file, "utf8");
        }
        catch (error) {
            // The error stands in for the content, so that a file that stays unreadable is reported only once.
            return (error as Error).message;
        }
    };
    let lastText = readText();
    const checkNow = (): void => {
        const text = readText();
        if (text === lastText) {
            return;
        }
        lastText = text;
        const settings = readSettings(file, schema);
        if (settings.isErr) {
            options.onInvalid(settings.error);
        }
        else {
            options.onChange(settings.value);
        }
    };
    options.timer.subscribe(pollIntervalMs, checkNow);
    return { checkNow };
}
