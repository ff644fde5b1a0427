/** Starts the deployed program as separate processes, with settings like those of a small deployment. */
import { spawn } from "node:child_process";
import { createSocket } from "node:dgram";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const root = fileURLToPath(new URL("../..", import.meta.url));
const readyTimeoutMs = 20_000;
const listeners = ["callers", "readiness", "directory", "control", "mesh", "metrics"];

const runCommand = () => /^run = "(.*)"$/m.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");

/** Reserves a port that is free for TCP and UDP until `release` is called. */
async function reservePort(host) {
    for (;;) {
        const tcp = createServer();
        await new Promise(resolve => tcp.listen(0, host, resolve));
        const { port } = tcp.address();
        const udp = createSocket("udp4");
        const isFree = await new Promise(resolve => {
            udp.once("error", () => resolve(false));
            udp.bind(port, host, () => resolve(true));
        });
        const release = async () => {
            await new Promise(resolve => tcp.close(resolve));
            await new Promise(resolve => isFree ? udp.close(resolve) : resolve());
        };
        if (isFree) {
            return { port, release };
        }
        await release();
    }
}

async function reserveListeners(host) {
    const reserved = [];
    for (const name of listeners) {
        reserved.push([name, await reservePort(host)]);
    }
    for (const [, { release }] of reserved) {
        await release();
    }
    return Object.fromEntries(reserved.map(([name, { port }]) => [name, `${host}:${port}`]));
}

const settingsText = (place, addresses, storeAddress, seeds, memoryMb) =>
    [
        `name = "${place.name}"`,
        `dataCentre = "${place.zone}"`,
        `region = "${place.region}"`,
        `store = "${storeAddress}"`,
        `seeds = [${seeds.map(seed => `"${seed}"`).join(", ")}]`,
        "[listen]",
        ...Object.entries(addresses).map(([name, address]) => `${name} = "${address}"`),
        "[regions]",
        "\"accra-a\" = \"accra\"",
        "\"accra-b\" = \"accra\"",
        "\"kumasi-a\" = \"kumasi\"",
        "[bounds]",
        "retryRatio = 0.2",
        "retrySlack = 60",
        "retryWindow = \"10s\"",
        "coldOvershoot = 1.5",
        "coldSlack = 5",
        "regionShift = 0.15",
        "stopGrace = \"6s\"",
        "[limits]",
        `memoryMb = ${memoryMb}`,
        "fileDescriptors = 4100",
    ].join("\n");

const residentMb = pid => {
    try {
        return Number(/^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, "utf8"))[1]) * 1_024 / 1_000_000;
    }
    catch {
        return 0;
    }
};

/** `places` holds the name, host, zone and region of each daemon. */
export async function startDaemons({ places, storeAddress, logDirectory = undefined, memoryMb = 350 }) {
    const directory = mkdtempSync(join(tmpdir(), "review-2-"));
    const [program, ...words] = runCommand();
    const addresses = [];
    for (const { host } of places) {
        addresses.push(await reserveListeners(host));
    }
    const seeds = addresses.map(({ control }) => control).slice(0, 3);
    const children = new Set();
    process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
    const daemons = places.map((place, index) => {
        const file = join(directory, `${place.name}.toml`);
        writeFileSync(file, settingsText(place, addresses[index], storeAddress, seeds, memoryMb));
        const daemon = {
            ...place,
            ...addresses[index],
            child: undefined,
            exit: undefined,
            start: () => {
                const { PATH, HOME, LANG } = process.env;
                daemon.exit = undefined;
                const child = spawn(program, words, {
                    cwd: root,
                    env: { PATH, HOME, LANG, PIMENTOSPRING_CONFIG: file },
                    stdio: ["ignore", "pipe", "pipe"],
                });
                const log = logDirectory === undefined
                    ? undefined
                    : createWriteStream(join(logDirectory, `${place.name}.log`), { flags: "a" });
                [child.stdout, child.stderr].forEach(stream => stream.on("data", data => log?.write(data)));
                children.add(child);
                child.ended = new Promise(resolve =>
                    child.once("exit", (code, signal) => {
                        children.delete(child);
                        if (daemon.child === child) {
                            daemon.exit = signal ?? `exit code ${code}`;
                        }
                        resolve();
                    })
                );
                daemon.child = child;
            },
            signal: name => daemon.child.kill(name),
            residentMb: () => residentMb(daemon.child.pid),
            isReady: () =>
                fetch(`http://${daemon.readiness}/readiness`, { signal: AbortSignal.timeout(1_000) }).then(
                    response => response.status === 200,
                    () => false,
                ),
        };
        return daemon;
    });
    daemons.forEach(daemon => daemon.start());
    const awaitReady = async () => {
        const endAt = performance.now() + readyTimeoutMs;
        for (const daemon of daemons) {
            while (!await daemon.isReady()) {
                if (performance.now() > endAt) {
                    throw new Error(`${daemon.name} did not get ready`);
                }
                await new Promise(resolve => setTimeout(resolve, 100));
            }
        }
    };
    const stop = async () => {
        const running = [...children];
        running.forEach(child => child.kill("SIGKILL"));
        await Promise.all(running.map(child => child.ended));
        rmSync(directory, { recursive: true, force: true });
    };
    return { daemons, awaitReady, stop };
}
