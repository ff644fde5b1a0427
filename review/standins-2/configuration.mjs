/** Configurations as the operator writes them, and servers' entries. */
import { hostName } from "./callers.mjs";

export const route = ({ name, prefix, kind = "safe", service, attempts = 2, timeoutMs = 1_500 }) => ({
    resourceKind: "routes",
    metadata: { name },
    specification: {
        host: hostName,
        prefix,
        kind,
        timeout: `${timeoutMs}ms`,
        targetLatency: "400ms",
        priority: 2,
        trafficSplit: [{ service, weight: 100 }],
        attempts,
        stickySessions: false,
        homeRegions: [],
    },
});

const service = name => ({
    resourceKind: "services",
    metadata: { name },
    specification: {
        healthCheckPath: "/health",
        connectionLimit: 360,
        protocol: "h1",
        tls: false,
        coldStart: "3s",
        coldPerS: 8.8,
    },
});

const limits = {
    resourceKind: "limits",
    metadata: {},
    specification: { headerBytes: 16_384, bodyBytes: 67_108_864, headerTimeout: "3000ms", idleTimeout: "15000ms" },
};

/** Routes that get no requests. */
export const idleRoutes = (count, serviceName) =>
    Array.from({ length: count }, (_, index) =>
        route({ name: `r-idle${index}`, prefix: `/idle${index}xx/`, service: serviceName }));

/** `versions` increase in uneven steps. */
export function createVersions() {
    let version = 7;
    return (routes, services) => {
        const baseVersion = version;
        version += 2 + version % 3;
        return { version, baseVersion, resources: [...routes, ...services.map(service), limits] };
    };
}
