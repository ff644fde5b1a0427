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
    readonly changed: (settings: v.InferOutput<Schema>) => void;
    /** The file can't be used; the settings in force stay. */
    readonly refused: (faults: readonly SettingsFault[]) => void;
}

export interface SettingsWatch {
    /** Looks at the file now; an unchanged one is passed over. */
    look(): void;
}

/** A changed file is noticed within this time without a signal. */
const intervalMs = 2_000;

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
    let known = readText();
    const look = (): void => {
        const text = readText();
        if (text === known) {
            return;
        }
        known = text;
        const settings = readSettings(file, schema);
        if (settings.isErr) {
            options.refused(settings.error);
        }
        else {
            options.changed(settings.value);
        }
    };
    options.timer.subscribe(intervalMs, look);
    return { look };
}
