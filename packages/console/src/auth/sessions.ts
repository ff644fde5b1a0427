/**
 * Authenticates operators by bearer token or signed session cookie. Sessions are stateless, so that any console can serve
 * the next request. Format of the cookie: `<name>~<expiry in seconds>~<HMAC-SHA256>`.
 */
import { createHash, createHmac, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { ConsoleSettings } from "../settings/settings.js";

export interface Sessions {
    /** Name of the operator whose token this is; undefined if the token is unknown. */
    verifyToken(token: string): string | undefined;
    /** Creates the session cookie's value for an operator. */
    createCookie(name: string): string;
    /** Name of the request's operator, by bearer token or session cookie; undefined if neither is valid. */
    authenticate(request: IncomingMessage): string | undefined;
    /** CSRF token of this operator's forms, which pages of other sites can't obtain. */
    createCsrfToken(name: string): string;
}

export const cookieName = "pimento_session";
const sessionLifetimeSeconds = 8 * 3600;

export function createSessions(settings: ConsoleSettings, wallTime: () => number): Sessions {
    const sign = (text: string): string => createHmac("sha256", settings.sessionKey).update(text).digest("base64url");
    const verifyToken = (token: string): string | undefined =>
        settings.operators.find(operator => isEqual(operator.token, token))?.name;
    const createCookie = (name: string): string => {
        const text = `${name}~${Math.floor(wallTime() / 1000) + sessionLifetimeSeconds}`;
        return `${text}~${sign(text)}`;
    };
    const verifyCookie = (cookie: string): string | undefined => {
        const [name = "", expiry = "", signature = ""] = cookie.split("~");
        const isValid = isEqual(sign(`${name}~${expiry}`), signature) && Number(expiry) * 1000 > wallTime();
        return isValid && settings.operators.some(operator => operator.name === name) ? name : undefined;
    };
    const authenticate = (request: IncomingMessage): string | undefined => {
        const bearer = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
        if (bearer !== undefined) {
            return verifyToken(bearer);
        }
        const cookie = (request.headers.cookie ?? "").split("; ").find(part => part.startsWith(`${cookieName}=`));
        return cookie === undefined ? undefined : verifyCookie(decodeURIComponent(cookie.slice(cookieName.length + 1)));
    };
    return { verifyToken, createCookie, authenticate, createCsrfToken: name => sign(`form ${name}`) };
}

/** Compares in constant time; hashing gives both sides the same length, which `timingSafeEqual` requires. */
function isEqual(expected: string, actual: string): boolean {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(expected), digest(actual));
}
