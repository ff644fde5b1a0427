/** The ways of deciding that vary: production uses `defaultPolicy`, benchmarks and tests others. */
import { pickPowerOfTwoChoices, type TargetPicker } from "./pick.js";

/** Ways of deciding that a benchmark may exchange. */
export interface Policy {
    readonly createPicker: () => TargetPicker;
    readonly isHedgingEnabled: boolean;
    /** Whether slow targets are taken out. */
    readonly isEjectionEnabled: boolean;
    /** Replaces the slots that an entry may fill; only to show what goes wrong without them. */
    readonly overrideAllowance?: (safe: number, slots: number) => number;
}

export const defaultPolicy: Policy = {
    createPicker: () => pickPowerOfTwoChoices,
    isHedgingEnabled: true,
    isEjectionEnabled: true,
};
