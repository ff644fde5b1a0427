/** What is deployed: the command of the steering role and its settings template, from `deploy/system.toml`. */
import { readFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parse } from "smol-toml";

export interface Deployment {
    /** Program and arguments. */
    readonly command: readonly string[];
    /** Environment variables of the role. */
    readonly env: Readonly<Record<string, string>>;
    readonly template: string;
}

interface Role {
    readonly run: string;
    readonly template: string;
    readonly env?: Readonly<Record<string, string>>;
}

interface SystemFile {
    readonly roles: Readonly<Record<string, Role>>;
}

const roleName = "pimento-steer";

/** Root of the repository, in which a deployed program starts. */
export const repositoryRoot = fileURLToPath(new URL("../../../../", import.meta.url));

const readText = (path: string): string => readFileSync(join(repositoryRoot, path), "utf8");

export function readDeployment(): Deployment {
    const { roles } = parse(readText("deploy/system.toml")) as unknown as SystemFile;
    const { run, template, env = {} } = roles[roleName]!;
    return { command: run.split(" "), env, template: readText(template) };
}

/** Limits that the site files state for a process; a platform kills a process that exceeds its memory. */
export const processLimits = { memoryMb: 350, fileDescriptors: 4_100 } as const;

/** Time from SIGTERM to SIGKILL, as the site files state it. */
export const gracePeriodMs = 6_000;
