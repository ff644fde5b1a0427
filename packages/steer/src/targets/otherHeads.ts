/** Finds heads of HTTP/1 responses inside a body. */

export interface OtherHead {
    readonly status: number;
    /** Alternating names and values. */
    readonly rawHeaders: readonly string[];
}

const versionPrefix = "HTTP/1.";
/** `HTTP/1.1 200`, followed by a space or the line's end. */
const statusLinePattern = /^HTTP\/1\.\d (\d{3})[ \r\n]/;
const statusLineStartBytes = 13;
/** Blanks before the colon are obsolete, as are folded lines. */
const headerLinePattern = /^([!#$%&'*+.^_`|~0-9A-Za-z-]+)[ \t]*:(.*)$/;
const headerNameStartPattern = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+[ \t]*$/;
const foldedLinePattern = /^[ \t]/;
const maxHeadBytes = 16 * 1_024;
/** Bytes of supposed heads that are read in one body; beyond them, heads are not found. */
const maxReadBytes = 512 * 1_024;

/** Of a head that is cut, where the body or the largest head ends, the headers that stand there; without any it is none. */
export function* otherHeads(body: Buffer): Generator<OtherHead> {
    let readBytes = 0;
    let at = body.indexOf(versionPrefix);
    while (at !== -1 && readBytes < maxReadBytes) {
        const status = statusAt(body, at);
        let resumeAt = at + versionPrefix.length;
        if (status !== undefined) {
            const { rawHeaders, isHead, endAt } = readHeaderLines(body, at);
            if (isHead) {
                yield { status, rawHeaders };
            }
            // A status line inside the lines that were read would be followed by the same headers.
            resumeAt = Math.max(resumeAt, endAt);
        }
        readBytes += Math.max(statusLineStartBytes, resumeAt - at);
        at = body.indexOf(versionPrefix, resumeAt);
    }
}

function statusAt(body: Buffer, at: number): number | undefined {
    const status = statusLinePattern.exec(body.toString("latin1", at, at + statusLineStartBytes))?.[1];
    return status === undefined ? undefined : Number(status);
}

interface HeaderLines {
    readonly rawHeaders: readonly string[];
    /** Whether the lines end as those of a head do, or are cut. */
    readonly isHead: boolean;
    /** Where another head may begin. */
    readonly endAt: number;
}

/** Reads the lines after the status line at `statusLineAt`. */
function readHeaderLines(body: Buffer, statusLineAt: number): HeaderLines {
    const rawHeaders: string[] = [];
    const limit = Math.min(body.length, statusLineAt + maxHeadBytes);
    let previousLineAt = statusLineAt;
    let lineAt = nextLineAt(body, statusLineAt, limit);
    while (lineAt < limit) {
        const nextAt = nextLineAt(body, lineAt, limit);
        const line = body.toString("latin1", lineAt, nextAt).replace(/\r?\n$|\r$/, "");
        if (line === "") {
            return { rawHeaders, isHead: true, endAt: nextAt };
        }
        if (!addHeaderLine(rawHeaders, line)) {
            const isCut = body[nextAt - 1] !== lineFeed && headerNameStartPattern.test(line);
            return { rawHeaders, isHead: isCut && rawHeaders.length > 0, endAt: lineAt };
        }
        previousLineAt = lineAt;
        lineAt = nextAt;
    }
    return { rawHeaders, isHead: rawHeaders.length > 0, endAt: lastVersionAt(body, previousLineAt, limit) };
}

const lineFeed = 0x0a;

function nextLineAt(body: Buffer, from: number, limit: number): number {
    const at = body.subarray(from, limit).indexOf(lineFeed);
    return at === -1 ? limit : from + at + 1;
}

/** Returns false if the line is no header. */
function addHeaderLine(rawHeaders: string[], line: string): boolean {
    if (foldedLinePattern.test(line) && rawHeaders.length > 0) {
        const value = `${rawHeaders.pop()!} ${line.trim()}`;
        rawHeaders.push(value.trim());
        return true;
    }
    const header = headerLinePattern.exec(line);
    if (header !== null) {
        rawHeaders.push(header[1]!, header[2]!.trim());
    }
    return header !== null;
}

/** Where a status line may begin that ends behind `limit`; the line that begins at `lineAt` is the last one before it. */
function lastVersionAt(body: Buffer, lineAt: number, limit: number): number {
    const at = body.subarray(lineAt, limit).lastIndexOf(versionPrefix);
    return at > 0 ? lineAt + at : limit - versionPrefix.length + 1;
}
