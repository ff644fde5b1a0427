/** Which responses have a body. */

/** Whether the final response to a request has a body, which may be empty. */
export const hasResponseBody = (method: string | undefined, status: number): boolean =>
    method !== "HEAD" && status >= 200 && status !== 204 && status !== 304;
