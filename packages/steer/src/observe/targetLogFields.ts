/** Fields that name a target in log lines. */
import type { Target } from "@pimentospring/core/steering/target";

export const targetLogFields = (
    target: Target,
    change: string,
): { readonly target: string; readonly service: string; readonly change: string; readonly dataCentre: string; } => ({
    target: target.record.id,
    service: target.record.service,
    dataCentre: target.record.dataCentre,
    change,
});
