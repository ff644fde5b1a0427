/** Lists answered requests, in one bounded line a second. */
import type { RequestId, TargetId } from "@pimentospring/core/ids";
import type { Timer } from "@pimentospring/core/time/timer";
import { idWord } from "@pimentospring/runtime/logs/idWord";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import type { ReceivedResponse } from "../targets/targetResponse.js";

export interface AnsweredRequests {
    /** `target` is the one that the request was sent to last. */
    add(id: RequestId, target: TargetId | undefined, response: ReceivedResponse): void;
    /** Writes the line at once, if there is anything to list. */
    write(): void;
}

const lineIntervalMs = 1_000;
const maxListedRequests = 200;

export function createAnsweredRequests(timer: Timer, log: Log): AnsweredRequests {
    let listed: string[] = [];
    let notListed = 0;
    const write = (): void => {
        if (listed.length === 0) {
            return;
        }
        log.write(logEvents.requestsAnswered, {
            answers: listed,
            notListed: notListed === 0 ? undefined : notListed,
        });
        listed = [];
        notListed = 0;
    };
    timer.subscribe(lineIntervalMs, write);
    return {
        write,
        add: (id, target, { status, body, framing, connectionEnd }) => {
            if (listed.length < maxListedRequests) {
                const end = framing === "connectionEnd" ? ` ${framing} ${connectionEnd}` : "";
                listed.push(`${idWord(id)} ${idWord(target ?? "none")} ${status} ${body.length}${end}`);
            }
            else {
                notListed++;
            }
        },
    };
}
