/** Replaceable parts of request placement. Production uses `defaultPolicy`; benchmarks and tests use others. */
import { pickPowerOfTwoChoices, type TargetPicker } from "./pick.js";

/** Decisions that a benchmark may replace. */
export interface Policy {
    readonly createPicker: () => TargetPicker;
    readonly isHedgingEnabled: boolean;
    /** Whether slow targets are ejected. */
    readonly isEjectionEnabled: boolean;
    /** Overrides the slots that an entry may fill; used only to show what goes wrong without the safe allowance. */
    readonly overrideAllowance?: (safe: number, slots: number) => number;
}

export const defaultPolicy: Policy = {
    createPicker: () => pickPowerOfTwoChoices,
    isHedgingEnabled: true,
    isEjectionEnabled: true,
};
