/** Detects changes of a settings file, validates it again and reports the new settings or their faults. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { SettingsFault } from "./settings.js";
import type { ReplacedSetting, SettingsReader } from "./settingsReader.js";

export interface SettingsWatchOptions<Settings> {
    readonly timer: Timer;
    readonly reader: SettingsReader<Settings>;
    /** Called when the file has changed and is valid, but for the values in `replaced`, which stay as they were. */
    readonly onChange: (settings: Settings, replaced: readonly ReplacedSetting[]) => void;
    /** Called when the changed file is invalid; the settings in force stay. */
    readonly onInvalid: (faults: readonly SettingsFault[]) => void;
}

export interface SettingsWatch {
    /** Checks the file now; an unchanged file is ignored. */
    checkNow(): void;
}

/** A change is detected within this time even without a signal. */
const pollIntervalMs = 2_000;

export function createSettingsWatch<Settings>(options: SettingsWatchOptions<Settings>): SettingsWatch {
    const checkNow = (): void => {
        const reading = options.reader.readChanged();
        if (reading?.isOk === true) {
            options.onChange(reading.value.settings, reading.value.replaced);
        }
        else if (reading?.isErr === true) {
            options.onInvalid(reading.error);
        }
    };
    options.timer.subscribe(pollIntervalMs, checkNow);
    return { checkNow };
}
