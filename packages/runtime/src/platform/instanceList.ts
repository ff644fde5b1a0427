/** Reads the platform's list of live and leaving instances, which lags behind: `GET <url>` returns a JSON array. */
import { toAddress, toDataCentreId } from "@pimentospring/core/ids";
import type { ListedInstance } from "@pimentospring/core/requests/events";
import { err, ok, type Result } from "true-myth/result";
import { request } from "undici";
import * as v from "valibot";

const listSchema = v.array(v.object({ address: v.string(), dataCentre: v.string(), state: v.picklist(["live", "leaving"]) }));

export async function readInstances(url: string, timeoutMs: number): Promise<Result<ListedInstance[], string>> {
    try {
        const answer = await request(url, { signal: AbortSignal.timeout(timeoutMs) });
        const parsed = v.safeParse(listSchema, await answer.body.json());
        if (answer.statusCode !== 200 || !parsed.success) {
            return err(`status ${answer.statusCode}`);
        }
        return ok(parsed.output.map(row => ({
            address: toAddress(row.address),
            dataCentre: toDataCentreId(row.dataCentre),
            isLeaving: row.state === "leaving",
        })));
    }
    catch (error) {
        return err((error as Error).message);
    }
}
