/** Digests of keys. Keys are secrets, so that only their digests are kept and compared. */
import { createHash } from "node:crypto";
import type { KeyDigest } from "../ids.js";

/** Digest of a key's bytes, which are the same in a document and in a header whatever the encoding of the text. */
export const digestKey = (key: Uint8Array): KeyDigest => createHash("sha256").update(key).digest("base64") as KeyDigest;
