/** Reasons for which a response that has ended is not passed on. */
import { isWhole } from "@pimentospring/runtime/http/responseFraming";
import { type OtherHead, otherHeads } from "./otherHeads.js";
import type { EndedResponse } from "./targetResponse.js";

/** Tells whether responses belong to a request. */
export interface ResponseCheck {
    /** Whether a complete response belongs to this request; if not, the connection is closed. */
    isExpected(response: EndedResponse): boolean;
    /** Id of the request that the head of a response names, if it names one. */
    namedRequestId(head: OtherHead): string | undefined;
}

/** What a response that has ended was found to be. */
export interface ResponseFindings {
    /** What is wrong with it, if anything. */
    readonly fault: string | undefined;
    /** Whether its body has no length and contains the head of another response. */
    readonly hasOtherHead: boolean;
}

/** `carriedIds` are those of the requests that the response's connection has carried. */
export function examine(response: EndedResponse, carriedIds: ReadonlySet<string>, check: ResponseCheck): ResponseFindings {
    const { framing, body, connectionEnd } = response;
    if (!isWhole(framing, connectionEnd)) {
        const fault = `the connection ended (${connectionEnd}) after ${body.length} bytes of a response without a length`;
        return { fault, hasOtherHead: false };
    }
    if (!check.isExpected(response)) {
        return { fault: "response belongs to another request", hasOtherHead: false };
    }
    return examineOtherHeads(response, carriedIds, check);
}

/**
 * Looks in the body for the head of another response to a request of the connection, which only its connection's end could
 * have kept apart. What can't be told from the body: a second answer that is cut before the end of its id, one whose head has no
 * id or has a line that is no header, and those behind the bytes in which heads are looked for.
 */
function examineOtherHeads(
    { framing, body }: EndedResponse,
    carriedIds: ReadonlySet<string>,
    check: ResponseCheck,
): ResponseFindings {
    let hasOtherHead = false;
    for (const head of framing === "connectionEnd" ? otherHeads(body.join()) : []) {
        hasOtherHead = true;
        const id = check.namedRequestId(head);
        if (id !== undefined && carriedIds.has(id)) {
            return { fault: "another answer's head is in a response without a length", hasOtherHead };
        }
    }
    return { fault: undefined, hasOtherHead };
}
