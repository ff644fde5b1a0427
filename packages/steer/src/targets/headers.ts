/** Header look-up by lower-case name. */
import type { HeaderReader } from "../wire/headerCodec.js";

/** `rawHeaders` holds alternating names and values. */
export function headerReader(rawHeaders: readonly string[]): HeaderReader {
    return name => {
        for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
            if (rawHeaders[at]!.length === name.length && rawHeaders[at]!.toLowerCase() === name) {
                return rawHeaders[at + 1];
            }
        }
        return undefined;
    };
}
