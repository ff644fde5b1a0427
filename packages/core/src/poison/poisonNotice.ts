/** Conversion between what the list knows and the messages of the own interface's mesh. */
import { toFingerprint, toTargetIncarnationId } from "../ids.js";
import type { PoisonNotice } from "../membership/messages.js";
import type { PoisonReport } from "./poisonList.js";

export const toPoisonNotice = ({ fingerprint, targetIncarnation, ageMs }: PoisonReport, deaths: number): PoisonNotice => ({
    kind: "poison",
    fingerprint,
    deaths,
    targetIncarnation,
    ageMs,
});

export const toPoisonReport = ({ fingerprint, targetIncarnation, ageMs }: PoisonNotice): PoisonReport => ({
    fingerprint: toFingerprint(fingerprint),
    targetIncarnation: toTargetIncarnationId(targetIncarnation),
    isCleared: false,
    ageMs,
});
