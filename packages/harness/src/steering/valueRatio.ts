/** What answers are worth to callers. */
import type { ClassOutcome } from "./simulationOptions.js";

/** Value of a late answer, as a fraction of one in time. */
const lateAnswerRatio = 0.2;

/** Value of the answers per request. */
export const valueRatio = ({ requests, inTime, late }: ClassOutcome): number => (inTime + lateAnswerRatio * late) / requests;
