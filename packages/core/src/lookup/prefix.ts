/** Parsing and formatting of IPv4 addresses and CIDR blocks as unsigned 32-bit numbers. */

export interface Prefix {
    /** First address of the block as an unsigned 32-bit number. */
    readonly start: number;
    /** Last address of the block. */
    readonly end: number;
    /** Prefix length in bits, 0 to 32. */
    readonly length: number;
}

/** Parses `a.b.c.d`; returns undefined if it is not an IPv4 address. */
export function parseAddress(text: string): number | undefined {
    const bytes = text.split(".");
    if (bytes.length !== 4) {
        return undefined;
    }
    let value = 0;
    for (const byte of bytes) {
        const number = /^\d{1,3}$/.test(byte) ? Number(byte) : 256;
        if (number > 255) {
            return undefined;
        }
        value = value * 256 + number;
    }
    return value;
}

/** Parses `a.b.c.d/length`; returns undefined if it is malformed or has host bits set. */
export function parsePrefix(text: string): Prefix | undefined {
    const slash = text.indexOf("/");
    const start = parseAddress(text.slice(0, slash));
    const length = Number(text.slice(slash + 1));
    if (slash < 0 || start === undefined || !(length >= 0 && length <= 32)) {
        return undefined;
    }
    const size = 2 ** (32 - length);
    if (start % size !== 0) {
        return undefined;
    }
    return { start, end: start + size - 1, length };
}

export function formatAddress(value: number): string {
    return [24, 16, 8, 0].map(shift => (value >>> shift) & 255).join(".");
}
