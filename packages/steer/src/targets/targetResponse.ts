/** Responses of targets. */
import type { ConnectionEnd } from "@pimentospring/runtime/http/connectionEnd";
import type { Framing } from "@pimentospring/runtime/http/responseFraming";
import type { ResponseBody } from "./responseBody.js";

/** A target's complete response, as passed on to the caller. */
export interface TargetResponse {
    readonly status: number;
    readonly statusText: string;
    /** Alternating names and values, as received. */
    readonly rawHeaders: readonly string[];
    readonly body: ResponseBody;
}

/** A target's response that has ended, and what its connection tells of whether it is whole. */
export interface EndedResponse extends TargetResponse {
    readonly framing: Framing;
    /** How the target had ended the connection by the end of the response. */
    readonly connectionEnd: ConnectionEnd;
}

/** A target's response that was found whole. */
export interface ReceivedResponse extends EndedResponse {
    /** Whether the body has no length and contains the head of another response. */
    readonly hasOtherHead: boolean;
}
