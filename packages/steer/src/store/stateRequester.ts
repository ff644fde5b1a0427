/** State requests between entries over HTTP. */
import { readBody } from "@pimentospring/runtime/http/jsonServer";
import { request } from "undici";
import { statePath, type StateRequester } from "./peerSync.js";

const requestTimeoutMs = 800;
/** Several times the largest configuration that the store takes. */
const maxStateBytes = 16 * 1_024 * 1_024;

export const requestState: StateRequester = async (address, body) => {
    const response = await request(`http://${address}${statePath}`, {
        method: "POST",
        body,
        signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const bytes = await readBody(response.body, maxStateBytes);
    return response.statusCode === 200 ? bytes : undefined;
};
