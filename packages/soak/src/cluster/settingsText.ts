/** The settings file of a daemon, in its own format. */

/** Where a daemon stands and listens. */
export interface Place {
    readonly name: string;
    readonly host: string;
    readonly firstPort: number;
    readonly dataCentre: string;
    readonly region: string;
}

/** Sockets of a daemon, in the order of their ports. */
export const listenNames = ["callers", "readiness", "directory", "control", "mesh", "metrics"] as const;

export interface SettingsText {
    readonly place: Place;
    readonly store: string;
    readonly seeds: readonly string[];
    readonly retrySlack: number;
}

export const regions: Readonly<Record<string, string>> = { "cpt-a": "cpt", "cpt-b": "cpt", "jhb-a": "jhb" };

export function settingsText(settings: SettingsText): string {
    const { place } = settings;
    return [
        `name = "${place.name}"`,
        `dataCentre = "${place.dataCentre}"`,
        `region = "${place.region}"`,
        `store = "${settings.store}"`,
        `seeds = ${JSON.stringify(settings.seeds)}`,
        "[listen]",
        ...listenNames.map((name, index) => `${name} = "${place.host}:${place.firstPort + index}"`),
        "[regions]",
        ...Object.entries(regions).map(([dataCentre, region]) => `${dataCentre} = "${region}"`),
        "[bounds]",
        `retrySlack = ${settings.retrySlack}`,
        "",
    ].join("\n");
}
