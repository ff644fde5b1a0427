/** Hop-by-hop headers, which are never forwarded (RFC 9110, section 7.6.1). */

const hopByHopHeaders = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
]);

/** Returns the end-to-end headers, without those for whose lower-case name `isDropped` holds. */
export function endToEndHeaders(rawHeaders: readonly string[], isDropped: (name: string) => boolean): string[] {
    const connectionHeaders = connectionOptions(rawHeaders);
    const kept: string[] = [];
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        const name = rawHeaders[at]!.toLowerCase();
        if (!hopByHopHeaders.has(name) && !connectionHeaders.has(name) && !isDropped(name)) {
            kept.push(rawHeaders[at]!, rawHeaders[at + 1]!);
        }
    }
    return kept;
}

/** Names of headers that the `Connection` header declares as hop-by-hop. */
function connectionOptions(rawHeaders: readonly string[]): ReadonlySet<string> {
    const names = new Set<string>();
    for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
        if (rawHeaders[at]!.toLowerCase() === "connection") {
            rawHeaders[at + 1]!.split(",").forEach(name => names.add(name.trim().toLowerCase()));
        }
    }
    return names;
}
