/** Reads the settings at the start of a program, and waits for a file that is missing, being written or invalid. */
import type { Timer } from "@pimentospring/core/time/timer";
import type { Log } from "../logs/log.js";
import { logEvents } from "../logs/logEvents.js";
import { describeSettingsFaults } from "./settings.js";
import type { SettingsReader } from "./settingsReader.js";

export interface AwaitSettingsOptions<Settings> {
    readonly reader: SettingsReader<Settings>;
    readonly timer: Timer;
    readonly log: Log;
}

const rereadIntervalMs = 300;

export async function awaitSettings<Settings>({ reader, timer, log }: AwaitSettingsOptions<Settings>): Promise<Settings> {
    const startedAt = timer.now();
    for (;;) {
        const reading = reader.readChanged();
        if (reading?.isOk === true) {
            const { settings, replaced } = reading.value;
            if (timer.now() - startedAt >= rereadIntervalMs) {
                log.write(logEvents.settingsFound, { waitedMs: Math.round(timer.now() - startedAt) });
            }
            replaced.forEach(({ key, value, text, used }) =>
                log.write(logEvents.settingDefaulted, { key, value, reason: text, default: used })
            );
            return settings;
        }
        if (reading?.isErr === true) {
            log.write(logEvents.settingsAwaited, { file: reading.error[0]?.file, faults: describeSettingsFaults(reading.error) });
        }
        await new Promise<void>(resolve => timer.after(rereadIntervalMs, resolve));
    }
}
