/** Formats the settings file of a daemon. */

/** Location and addresses of a daemon. */
export interface DaemonPlacement {
    readonly name: string;
    readonly host: string;
    readonly firstPort: number;
    readonly dataCentre: string;
    readonly region: string;
}

/** Listeners of a daemon, in the order of their ports. */
export const listenerNames = ["callers", "readiness", "directory", "control", "mesh", "metrics"] as const;

export interface DaemonSettings {
    readonly placement: DaemonPlacement;
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly retrySlack: number;
}

export const regionByDataCentre: Readonly<Record<string, string>> = { "cpt-a": "cpt", "cpt-b": "cpt", "jhb-a": "jhb" };

export function formatSettings(settings: DaemonSettings): string {
    const { placement } = settings;
    return [
        `name = "${placement.name}"`,
        `dataCentre = "${placement.dataCentre}"`,
        `region = "${placement.region}"`,
        `store = "${settings.storeAddress}"`,
        `seeds = ${JSON.stringify(settings.seeds)}`,
        "[listen]",
        ...listenerNames.map((name, index) => `${name} = "${placement.host}:${placement.firstPort + index}"`),
        "[regions]",
        ...Object.entries(regionByDataCentre).map(([dataCentre, region]) => `${dataCentre} = "${region}"`),
        "[bounds]",
        `retrySlack = ${settings.retrySlack}`,
        "",
    ].join("\n");
}
