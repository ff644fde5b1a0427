/** Renders the settings file of a daemon from the deployed template. */
import { parse } from "smol-toml";
import { gracePeriodMs, processLimits } from "./deployment.js";
import { renderTemplate, type TemplateTable } from "./template.js";

/** Location and addresses of a daemon. */
export interface DaemonPlacement {
    readonly name: string;
    readonly host: string;
    readonly firstPort: number;
    readonly dataCentre: string;
    readonly region: string;
}

export interface DaemonSettings {
    readonly placement: DaemonPlacement;
    readonly storeAddress: string;
    readonly seeds: readonly string[];
    readonly retrySlack: number;
    /** Further data centres, without daemons and targets, with their regions. */
    readonly furtherDataCentres?: Readonly<Record<string, string>>;
}

/** Addresses on which a daemon listens, by the names of the settings file. */
export type ListenAddresses = Readonly<Record<"callers" | "readiness" | "directory" | "control" | "mesh" | "metrics", string>>;

export const regionByDataCentre: Readonly<Record<string, string>> = { "cpt-a": "cpt", "cpt-b": "cpt", "jhb-a": "jhb" };

/** Offsets of the listeners from the first port of a daemon. */
const portOffsets = { front: 0, ready: 1, directory: 2, control: 3, internal: 4 } as const;
const internalPortCount = 16;

/** Address of a daemon's control listener, by which others find it. */
export const controlAddress = (host: string, firstPort: number): string => `${host}:${firstPort + portOffsets.control}`;

export const renderSettings = (template: string, settings: DaemonSettings): string =>
    renderTemplate(template, platformFields(settings));

/** Listeners of a rendered settings file. */
export const listenAddressesOf = (text: string): ListenAddresses =>
    (parse(text) as unknown as { readonly listen: ListenAddresses; }).listen;

/** The fields that the platform offers to templates. */
function platformFields({ placement, ...settings }: DaemonSettings): TemplateTable {
    const { host, firstPort } = placement;
    const address = (offset: number): string => `${host}:${firstPort + offset}`;
    const firstInternalPort = firstPort + portOffsets.internal;
    return {
        nodeName: placement.name,
        ip: host,
        zone: placement.dataCentre,
        region: placement.region,
        zones: { ...regionByDataCentre, ...settings.furtherDataCentres },
        listenAddresses: {
            front: address(portOffsets.front),
            ready: address(portOffsets.ready),
            control: controlAddress(host, firstPort),
            directory: address(portOffsets.directory),
        },
        internalPortRange: [firstInternalPort, firstInternalPort + internalPortCount - 1],
        seeds: settings.seeds,
        limits: processLimits,
        bounds: {
            retryBudgetRatio: 0.2,
            retryBudgetSlack: settings.retrySlack,
            budgetWindow: "10s",
            coldOvershoot: 1.5,
            coldSlack: 5,
            maxRegionShift: 0.15,
            gracePeriod: `${gracePeriodMs / 1_000}s`,
        },
        platform: { address: settings.storeAddress, form: "kv" },
    };
}
