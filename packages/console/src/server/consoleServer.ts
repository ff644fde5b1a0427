/** The console's HTTP: forms for people, JSON for programs; both end in one compare-and-swap of the whole document. */
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
    /** Milliseconds since 1970. */
    readonly wallTime: () => number;
}

/** Largest form or document taken, in bytes. */
const mostBodyBytes = 4_000_000;
const empty: Document = {
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

/** A request whose operator is known. */
interface Signed {
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
    /** A page for a signed-in operator; forms must carry the proof. */
    const signed = (handle: (request: Signed) => Promise<void>): Handler => async (request, response, url) => {
        const operator = sessions.operatorOf(request);
        if (operator === undefined) {
            redirect(response, "/sign-in");
            return;
        }
        const viewer = { operator, proof: sessions.formProof(operator) };
        const form = request.method === "POST" ? await readForm(request) : new URLSearchParams();
        if (request.method === "POST" && form.get("proof") !== viewer.proof) {
            log.write(logEvents.operatorRefused, { reason: "form without proof" });
            sendPage(
                response,
                403,
                failurePage(operator, "Refused", "The form is not one of this console's; load the page again."),
            );
            return;
        }
        await handle({ response, url, viewer, form });
    };
    const home = async ({ response, viewer }: Signed): Promise<void> => {
        const current = await readCurrentDocument(store);
        if (current.isErr) {
            sendFailure(response, viewer, results.storeUnreachable, current.error.reason);
            return;
        }
        const { accepted } = current.value;
        const draft = { document: accepted?.document ?? empty, basedOn: accepted?.revision ?? 0 };
        sendPage(response, 200, homePage(viewer, accepted, draft));
    };
    const preview = async (request: Signed, draft: Draft): Promise<void> => {
        const current = await readCurrentDocument(store);
        if (current.isErr) {
            sendFailure(request.response, request.viewer, results.storeUnreachable, current.error.reason);
            return;
        }
        const differences = diffDocuments(current.value.accepted?.document, draft.document);
        sendPage(request.response, 200, previewPage(request.viewer, draft, differences));
    };
    const change = async (request: Signed): Promise<void> => {
        const section = sectionOf(request.url);
        const draft = draftOf(request.form);
        const item = request.form.has("remove") ? undefined : parseItem(section, request.form);
        const next = validateDocument(replaceItem(draft.document, section, request.form.get("key") ?? "", item));
        if (next.isErr) {
            sendPage(request.response, 422, faultPage(request.viewer, next.error));
            return;
        }
        await preview(request, { ...draft, document: next.value });
    };
    const submitForm = async ({ response, viewer, form }: Signed): Promise<void> => {
        const draft = draftOf(form);
        const outcome = await submit(viewer.operator, draft.basedOn, draft.document);
        sendPage(response, outcome.code.status, outcomePage(viewer, outcome));
    };
    const history = async ({ response, viewer }: Signed): Promise<void> => {
        const records = await readHistory(store);
        if (records.isErr) {
            sendFailure(response, viewer, results.storeUnreachable, records.error.reason);
            return;
        }
        sendPage(response, 200, historyPage(viewer, records.value));
    };
    const signIn: Handler = async (request, response) => {
        const operator = sessions.signIn((await readForm(request)).get("token") ?? "");
        if (operator === undefined) {
            log.write(logEvents.operatorRefused, { reason: "wrong token" });
            sendPage(response, 401, signInPage(true));
            return;
        }
        const cookie = encodeURIComponent(sessions.cookieFor(operator));
        redirect(response, "/", `${cookieName}=${cookie}; HttpOnly; SameSite=Strict; Path=/`);
    };
    /** JSON for programs; only a bearer token counts, so that no other site's form can use a cookie. */
    const api =
        (handle: (operator: string, body: Buffer, url: URL, response: ServerResponse) => Promise<void>): Handler =>
        async (request, response, url) => {
            const operator = request.headers.authorization === undefined ? undefined : sessions.operatorOf(request);
            if (operator === undefined) {
                log.write(logEvents.operatorRefused, { reason: "no valid bearer token" });
                sendCode(response, results.notAuthorised);
                return;
            }
            await handle(operator, await readBody(request, mostBodyBytes), url, response);
        };
    return createRouter({
        "GET /": signed(home),
        "GET /history": signed(history),
        "POST /section/": signed(async ({ response, url, viewer, form }) =>
            sendPage(response, 200, sectionPage(viewer, draftOf(form), sectionOf(url)))
        ),
        "POST /edit/": signed(async ({ response, url, viewer, form }) =>
            sendPage(response, 200, editPage(viewer, draftOf(form), sectionOf(url), form.get("key") ?? ""))
        ),
        "POST /change/": signed(change),
        "POST /preview": signed(request => preview(request, draftOf(request.form))),
        "POST /submit": signed(submitForm),
        "GET /sign-in": (_request, response) => sendPage(response, 200, signInPage(false)),
        "POST /sign-in": signIn,
        "POST /sign-out": (_request, response) => redirect(response, "/sign-in", `${cookieName}=; Max-Age=0; Path=/`),
        "GET /healthz": (_request, response) => sendJson(response, 200, { alive: true }),
        "GET /api/document": api(async (_operator, _body, _url, response) => {
            const current = await readCurrentDocument(store);
            if (current.isErr) {
                sendCode(response, results.storeUnreachable, current.error.reason);
                return;
            }
            sendJson(response, 200, current.value.accepted ?? null);
        }),
        "GET /api/history": api(async (_operator, _body, _url, response) => {
            const records = await readHistory(store);
            if (records.isErr) {
                sendCode(response, results.storeUnreachable, records.error.reason);
                return;
            }
            sendJson(response, 200, records.value);
        }),
        "POST /api/document": api(async (operator, body, url, response) => {
            const basedOn = url.searchParams.get("basedOn");
            const document = parseJson(body);
            const outcome = await submit(operator, basedOn === null ? undefined : Number(basedOn), document);
            sendJson(response, outcome.code.status, { ...outcome, code: outcome.code.code, name: outcome.code.name });
        }),
    }, error => log.write(logEvents.fault, { reason: error.stack ?? error.message }));
}

function sectionOf(url: URL): Section {
    const name = url.pathname.split("/")[2];
    const section = sections.find(found => found.name === name);
    if (section === undefined) {
        throw new Error(`there is no section ${name}`);
    }
    return section;
}

function draftOf(form: URLSearchParams): Draft {
    return { document: JSON.parse(form.get("draft") ?? "null") as Document, basedOn: Number(form.get("basedOn") ?? 0) };
}

/** Text that is not JSON is no document; the document's checks say so. */
function parseJson(body: Buffer): unknown {
    try {
        return JSON.parse(body.toString());
    }
    catch {
        return undefined;
    }
}

const readForm = async (request: IncomingMessage): Promise<URLSearchParams> =>
    new URLSearchParams((await readBody(request, mostBodyBytes)).toString());

function sendPage(response: ServerResponse, status: number, text: string): void {
    response.writeHead(status, {
        "content-type": "text/html; charset=utf-8",
        "content-security-policy": "default-src 'none'; style-src 'unsafe-inline'; form-action 'self'; frame-ancestors 'none'",
        "cache-control": "no-store",
    });
    response.end(text);
}

function sendFailure(response: ServerResponse, viewer: Viewer, code: Result, reason: string): void {
    sendPage(
        response,
        code.status,
        failurePage(viewer.operator, "Not now", `${code.code} ${code.name}: ${code.text} (${reason})`),
    );
}

const sendCode = (response: ServerResponse, { code, name, text, status }: Result, detail?: string): void =>
    sendJson(response, status, { code, name, text, detail });

function redirect(response: ServerResponse, location: string, cookie?: string): void {
    response.writeHead(303, { location, ...(cookie === undefined ? {} : { "set-cookie": cookie }) });
    response.end();
}
