/** HTTP server of the console: forms for people, a JSON API for programs. Both submit the whole document by compare-and-swap. */
import { diffDocuments } from "@pimentospring/core/document/diff";
import type { Document } from "@pimentospring/core/document/schema";
import { validateDocument } from "@pimentospring/core/document/validate";
import { type Result, results } from "@pimentospring/core/results/resultCode";
import { createRouter, type Handler, readBody, sendJson } from "@pimentospring/runtime/http/jsonServer";
import type { Log } from "@pimentospring/runtime/logs/log";
import { logEvents } from "@pimentospring/runtime/logs/logEvents";
import { type ChangeOutcome, readCurrentDocument, readHistory, submitChange } from "@pimentospring/runtime/platform/changes";
import type { Store } from "@pimentospring/runtime/platform/store";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { cookieName, type Sessions } from "../auth/sessions.js";
import {
    type Draft,
    editPage,
    failurePage,
    faultPage,
    historyPage,
    homePage,
    outcomePage,
    previewPage,
    sectionPage,
    signInPage,
    type Viewer,
} from "../pages/pages.js";
import { parseItem, replaceItem, type Section, sections } from "../pages/sections.js";

export interface ConsoleServerOptions {
    readonly sessions: Sessions;
    readonly store: Store;
    readonly log: Log;
    /** Wall-clock time in milliseconds since the Unix epoch. */
    readonly wallTime: () => number;
}

/** Maximum size of a form or document. */
const maxBodyBytes = 4_000_000;
const emptyDocument: Document = {
    schema: 1,
    regions: [],
    services: [],
    targets: [],
    callerBlocks: [],
    shifts: [],
    links: [],
    limits: [],
    leavingEntries: [],
};

/** A request of a signed-in operator. */
interface OperatorRequest {
    readonly response: ServerResponse;
    readonly url: URL;
    readonly viewer: Viewer;
    readonly form: URLSearchParams;
}

export function createConsoleServer(options: ConsoleServerOptions): Server {
    const { sessions, store, log } = options;

    const submit = async (operator: string, basedOn: number | undefined, document: unknown): Promise<ChangeOutcome> => {
        const outcome = await submitChange(store, { by: operator, at: options.wallTime(), basedOn, edit: () => document });
        log.write(logEvents.changeSubmitted, {
            operator,
            code: outcome.code.code,
            revision: outcome.revision,
            items: outcome.differences.map(difference => `${difference.kind} ${difference.path}`),
        });
        return outcome;
    };
    /** Redirects to the sign-in page without a valid session, and rejects forms without a valid CSRF token. */
    const requireSignIn = (handle: (request: OperatorRequest) => Promise<void>): Handler => async (request, response, url) => {
        const operator = sessions.authenticate(request);
        if (operator === undefined) {
            redirect(response, "/sign-in");
            return;
        }
        const viewer = { operator, csrfToken: sessions.createCsrfToken(operator) };
        const form = request.method === "POST" ? await readForm(request) : new URLSearchParams();
        if (request.method === "POST" && form.get("proof") !== viewer.csrfToken) {
            log.write(logEvents.operatorRefused, { reason: "form without a valid CSRF token" });
            sendPage(
                response,
                403,
                failurePage(operator, "Refused", "The form's CSRF token is missing or invalid; reload the page."),
            );
            return;
        }
        await handle({ response, url, viewer, form });
    };
    const home = async ({ response, viewer }: OperatorRequest): Promise<void> => {
        const current = await readCurrentDocument(store);
        if (current.isErr) {
            sendFailure(response, viewer, results.storeUnreachable, current.error.reason);
            return;
        }
        const { accepted } = current.value;
        const draft = { document: accepted?.document ?? emptyDocument, basedOn: accepted?.revision ?? 0 };
        sendPage(response, 200, homePage(viewer, accepted, draft));
    };
    const preview = async (request: OperatorRequest, draft: Draft): Promise<void> => {
        const current = await readCurrentDocument(store);
        if (current.isErr) {
            sendFailure(request.response, request.viewer, results.storeUnreachable, current.error.reason);
            return;
        }
        const differences = diffDocuments(current.value.accepted?.document, draft.document);
        sendPage(request.response, 200, previewPage(request.viewer, draft, differences));
    };
    const applyChange = async (request: OperatorRequest): Promise<void> => {
        const section = findSection(request.url);
        const draft = parseDraft(request.form);
        const item = request.form.has("remove") ? undefined : parseItem(section, request.form);
        const next = validateDocument(replaceItem(draft.document, section, request.form.get("key") ?? "", item));
        if (next.isErr) {
            sendPage(request.response, 422, faultPage(request.viewer, next.error));
            return;
        }
        await preview(request, { ...draft, document: next.value });
    };
    const submitForm = async ({ response, viewer, form }: OperatorRequest): Promise<void> => {
        const draft = parseDraft(form);
        const outcome = await submit(viewer.operator, draft.basedOn, draft.document);
        sendPage(response, outcome.code.status, outcomePage(viewer, outcome));
    };
    const history = async ({ response, viewer }: OperatorRequest): Promise<void> => {
        const records = await readHistory(store);
        if (records.isErr) {
            sendFailure(response, viewer, results.storeUnreachable, records.error.reason);
            return;
        }
        sendPage(response, 200, historyPage(viewer, records.value));
    };
    const signIn: Handler = async (request, response) => {
        const operator = sessions.verifyToken((await readForm(request)).get("token") ?? "");
        if (operator === undefined) {
            log.write(logEvents.operatorRefused, { reason: "wrong token" });
            sendPage(response, 401, signInPage(true));
            return;
        }
        const cookie = encodeURIComponent(sessions.createCookie(operator));
        redirect(response, "/", `${cookieName}=${cookie}; HttpOnly; SameSite=Strict; Path=/`);
    };
    /** Requires a bearer token. Session cookies are not accepted here, which protects the JSON API against CSRF. */
    const requireBearerToken =
        (handle: (operator: string, body: Buffer, url: URL, response: ServerResponse) => Promise<void>): Handler =>
        async (request, response, url) => {
            const operator = request.headers.authorization === undefined ? undefined : sessions.authenticate(request);
            if (operator === undefined) {
                log.write(logEvents.operatorRefused, { reason: "no valid bearer token" });
                sendCode(response, results.notAuthorised);
                return;
            }
            await handle(operator, await readBody(request, maxBodyBytes), url, response);
        };
    return createRouter({
        "GET /": requireSignIn(home),
        "GET /history": requireSignIn(history),
        "POST /section/": requireSignIn(async ({ response, url, viewer, form }) =>
            sendPage(response, 200, sectionPage(viewer, parseDraft(form), findSection(url)))
        ),
        "POST /edit/": requireSignIn(async ({ response, url, viewer, form }) =>
            sendPage(response, 200, editPage(viewer, parseDraft(form), findSection(url), form.get("key") ?? ""))
        ),
        "POST /change/": requireSignIn(applyChange),
        "POST /preview": requireSignIn(request => preview(request, parseDraft(request.form))),
        "POST /submit": requireSignIn(submitForm),
        "GET /sign-in": (_request, response) => sendPage(response, 200, signInPage(false)),
        "POST /sign-in": signIn,
        "POST /sign-out": (_request, response) => redirect(response, "/sign-in", `${cookieName}=; Max-Age=0; Path=/`),
        "GET /healthz": (_request, response) => sendJson(response, 200, { alive: true }),
        "GET /api/document": requireBearerToken(async (_operator, _body, _url, response) => {
            const current = await readCurrentDocument(store);
            if (current.isErr) {
                sendCode(response, results.storeUnreachable, current.error.reason);
                return;
            }
            sendJson(response, 200, current.value.accepted ?? null);
        }),
        "GET /api/history": requireBearerToken(async (_operator, _body, _url, response) => {
            const records = await readHistory(store);
            if (records.isErr) {
                sendCode(response, results.storeUnreachable, records.error.reason);
                return;
            }
            sendJson(response, 200, records.value);
        }),
        "POST /api/document": requireBearerToken(async (operator, body, url, response) => {
            const basedOn = url.searchParams.get("basedOn");
            const document = parseJson(body);
            const outcome = await submit(operator, basedOn === null ? undefined : Number(basedOn), document);
            sendJson(response, outcome.code.status, { ...outcome, code: outcome.code.code, name: outcome.code.name });
        }),
    }, error => log.write(logEvents.fault, { reason: error.stack ?? error.message }));
}

function findSection(url: URL): Section {
    const name = url.pathname.split("/")[2];
    const section = sections.find(candidate => candidate.name === name);
    if (section === undefined) {
        throw new Error(`unknown section "${name}"`);
    }
    return section;
}

function parseDraft(form: URLSearchParams): Draft {
    return { document: JSON.parse(form.get("draft") ?? "null") as Document, basedOn: Number(form.get("basedOn") ?? 0) };
}

/** Returns undefined for invalid JSON, which the document's validation then reports. */
function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        return undefined;
    }
}

const readForm = async (request: IncomingMessage): Promise<URLSearchParams> =>
    new URLSearchParams((await readBody(request, maxBodyBytes)).toString());

function sendPage(response: ServerResponse, status: number, text: string): void {
    response.writeHead(status, {
        "content-type": "text/html; charset=utf-8",
        "content-length": Buffer.byteLength(text),
        "content-security-policy": "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'",
        "cache-control": "no-store",
    });
    response.end(text);
}

function sendFailure(response: ServerResponse, viewer: Viewer, code: Result, reason: string): void {
    sendPage(
        response,
        code.status,
        failurePage(viewer.operator, "Temporarily unavailable", `${code.code} ${code.name}: ${code.text} (${reason})`),
    );
}

const sendCode = (response: ServerResponse, { code, name, text, status }: Result, detail?: string): void =>
    sendJson(response, status, { code, name, text, detail });

function redirect(response: ServerResponse, location: string, cookie?: string): void {
    response.writeHead(303, { location, ...(cookie === undefined ? {} : { "set-cookie": cookie }) });
    response.end();
}
