/** Notices that a settings file changed, reads and checks it again, and hands on what is valid. */
import type { Timer } from "@pimentospring/core/time/timer";
import { readFileSync } from "node:fs";
import type * as v from "valibot";
import { readSettings, type SettingsFault } from "./settings.js";

export interface SettingsWatchOptions<Schema extends v.GenericSchema> {
    readonly timer: Timer;
    readonly file: string;
    readonly schema: Schema;
    /** The file holds other settings than before, and they are valid. */
    readonly onChange: (settings: v.InferOutput<Schema>) => void;
    /** The file can't be used; the settings in force stay. */
    readonly onInvalid: (faults: readonly SettingsFault[]) => void;
}

export interface SettingsWatch {
    /** Looks at the file now; an unchanged one is passed over. */
    checkNow(): void;
}

/** A changed file is noticed within this time without a signal. */
const pollIntervalMs = 2_000;

export function createSettingsWatch<Schema extends v.GenericSchema>(options: SettingsWatchOptions<Schema>): SettingsWatch {
    const { file, schema } = options;
    const readText = (): string => {
        try {
            return readFileSync(file, "utf8");
        }
        catch (error) {
            // Named like a content, so that a file that stays away is told of once.
            return (error as Error).message;
        }
    };
    let lastText = readText();
    const look = (): void => {
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
    options.timer.subscribe(pollIntervalMs, look);
    return { checkNow: look };
}
