/** State requests between entries over HTTP. */
import { request } from "undici";
import { statePath, type StateRequester } from "./peerSync.js";

const requestTimeoutMs = 800;

export const requestState: StateRequester = async (address, body) => {
    const response = await request(`http://${address}${statePath}`, {
        method: "POST",
        body,
        signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const bytes = Buffer.from(await response.body.arrayBuffer());
    return response.statusCode === 200 ? bytes : undefined;
};
