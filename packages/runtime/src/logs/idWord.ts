/** Ids in lists of log lines. */

const maxEncodedLength = 64;

/**
 * The id as a word without blanks, which no other id can forge: callers choose ids. Blanks and `%` are percent-encoded; a long
 * word is cut, and ends in a `%`.
 */
export function idWord(id: string): string {
    const word = id.replace(/[\s%]/g, encodeURIComponent);
    return word.length <= maxEncodedLength ? word : `${word.slice(0, maxEncodedLength)}%`;
}
