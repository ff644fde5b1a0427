/** Pages of the console. */
import type { AcceptedDocument } from "@pimentospring/core/document/accepted";
import type { Difference } from "@pimentospring/core/document/diff";
import type { Document } from "@pimentospring/core/document/schema";
import type { Fault } from "@pimentospring/core/document/validate";
import { results } from "@pimentospring/core/results/resultCode";
import type { ChangeOutcome, ChangeRecord } from "@pimentospring/runtime/platform/changes";
import { type Html, html, page } from "./html.js";
import { type Field, formatField, type Item, itemKey, itemsOf, type Section, sections } from "./sections.js";

/** An operator's unsubmitted change: the edited document and the revision that it is based on. */
export interface Draft {
    readonly document: Document;
    readonly basedOn: number;
}

/** The signed-in operator and the CSRF token for the forms of the page. */
export interface Viewer {
    readonly operator: string;
    readonly csrfToken: string;
}

const hiddenInputs = (viewer: Viewer, draft: Draft): Html =>
    html`<input type="hidden" name="proof" value="${viewer.csrfToken}">
<input type="hidden" name="basedOn" value="${draft.basedOn}">
<input type="hidden" name="draft" value="${JSON.stringify(draft.document)}">`;

export function signInPage(isTokenUnknown: boolean): string {
    const fault = isTokenUnknown ? html`<p class="fault">${results.notAuthorised.code}: unknown token.</p>` : html``;
    return page(
        "Sign in",
        undefined,
        html`${fault}<form method="post" action="/sign-in">
<label>Operator's token <input type="password" name="token" autofocus></label><button>sign in</button></form>`,
    );
}

export function homePage(viewer: Viewer, accepted: AcceptedDocument | undefined, draft: Draft): string {
    const state = accepted === undefined
        ? html`<p>There is no document yet.</p>`
        : html`<p>Revision ${accepted.revision} by ${accepted.by}, ${
            new Date(accepted.at).toISOString()
        }. <a href="/history">History</a></p>`;
    const rows = sections.map(section => sectionButton(viewer, draft, section));
    return page("Configuration", viewer.operator, html`${state}${rows}`);
}

const sectionButton = (viewer: Viewer, draft: Draft, section: Section): Html =>
    html`<form method="post" action="/section/${section.name}">${hiddenInputs(viewer, draft)}
<button>${section.title}</button> ${itemsOf(draft.document, section).length}</form>`;

export function sectionPage(viewer: Viewer, draft: Draft, section: Section): string {
    const items = itemsOf(draft.document, section);
    const headings = section.fields.map(field => html`<th>${field.name}</th>`);
    const rows = items.map(item =>
        html`<tr>${section.fields.map(field => html`<td><code>${formatField(field.format, item[field.name])}</code></td>`)}
<td><form method="post" action="/edit/${section.name}">${hiddenInputs(viewer, draft)}
<input type="hidden" name="key" value="${itemKey(section, item)}"><button>edit</button></form></td></tr>`
    );
    const add = html`<form method="post" action="/edit/${section.name}">${
        hiddenInputs(viewer, draft)
    }<button>add one</button></form>`;
    const review = html`<form method="post" action="/preview">${
        hiddenInputs(viewer, draft)
    }<button>preview the change</button></form>`;
    return page(section.title, viewer.operator, html`<table><tr>${headings}<th></th></tr>${rows}</table>${add}${review}`);
}

export function editPage(viewer: Viewer, draft: Draft, section: Section, key: string): string {
    const item = itemsOf(draft.document, section).find(candidate => itemKey(section, candidate) === key) ?? {};
    const inputs = section.fields.map(field => html`<label>${field.label}<br>${input(field, item)}</label>`);
    const remove = key === "" ? html`` : html`<button name="remove" value="1">remove it</button>`;
    return page(
        key === "" ? `New in ${section.title}` : key,
        viewer.operator,
        html`<form method="post" action="/change/${section.name}">
${hiddenInputs(viewer, draft)}<input type="hidden" name="key" value="${key}">${inputs}<button>preview</button> ${remove}</form>`,
    );
}

function input(field: Field, item: Item): Html {
    const value = formatField(field.format, item[field.name]);
    switch (field.format.kind) {
        case "choice":
            return html`<select name="${field.name}">${
                field.format.choices.map(choice =>
                    choice === value ? html`<option selected>${choice}</option>` : html`<option>${choice}</option>`
                )
            }</select>`;
        case "lines":
            return html`<textarea name="${field.name}" rows="5" cols="80">${value}</textarea>`;
        default:
            return html`<input name="${field.name}" value="${value}">`;
    }
}

const differenceList = (differences: readonly Difference[]): Html =>
    differences.length === 0
        ? html`<p>No difference.</p>`
        : html`<ul>${
            differences.map(({ kind, path, before, after }) =>
                html`<li class="${kind}">${kind} ${path}${
                    before === undefined ? html`` : html`<br>before <code>${before}</code>`
                }${after === undefined ? html`` : html`<br>after <code>${after}</code>`}</li>`
            )
        }</ul>`;

const faultList = (faults: readonly Fault[]): Html =>
    html`<ul>${faults.map(fault => html`<li class="fault">${fault.path} ${fault.text}</li>`)}</ul>`;

/** Shows the differences between the document in the store and the draft. */
export function previewPage(viewer: Viewer, draft: Draft, differences: readonly Difference[]): string {
    const sectionButtons = sections.map(section => sectionButton(viewer, draft, section));
    return page(
        "Preview",
        viewer.operator,
        html`<p>Against revision ${draft.basedOn}:</p>${differenceList(differences)}
<form method="post" action="/submit">${hiddenInputs(viewer, draft)}<button>submit the change</button></form>
<h2>Make further changes first</h2>${sectionButtons}`,
    );
}

export function faultPage(viewer: Viewer, faults: readonly Fault[]): string {
    const { code, text } = results.invalidDocument;
    return page(
        "Invalid document",
        viewer.operator,
        html`<p class="fault">${code}: ${text}</p>${faultList(faults)}<p>Go back and correct the input.</p>`,
    );
}

export function outcomePage(viewer: Viewer, outcome: ChangeOutcome): string {
    const { code } = outcome;
    const body = code === results.applied
        ? html`<p>Applied as revision ${outcome.revision!}.</p>${differenceList(outcome.differences)}`
        : html`<p class="fault">${code.code} ${code.name}: ${code.text}</p>${faultList(outcome.faults)}`;
    const conflict = code === results.conflict
        ? html`<p>The store is at revision ${outcome.inStore?.revision ?? 0} by ${
            outcome.inStore?.by ?? "nobody"
        }. Differences between it and your change:</p>${differenceList(outcome.differences)}`
        : html``;
    return page(
        code === results.applied ? "Applied" : "Not applied",
        viewer.operator,
        html`${body}${conflict}<p><a href="/">Back</a></p>`,
    );
}

export function historyPage(viewer: Viewer, records: readonly ChangeRecord[]): string {
    const rows = [...records].reverse().map(record =>
        html`<tr><td>${record.revision}</td><td>${new Date(record.at).toISOString()}</td>
<td>${record.by}</td><td>${record.items.join(", ")}</td></tr>`
    );
    return page(
        "History",
        viewer.operator,
        html`<table><tr><th>Revision</th><th>At</th><th>By</th><th>What</th></tr>${rows}</table>`,
    );
}

export function failurePage(operator: string | undefined, title: string, text: string): string {
    return page(title, operator, html`<p class="fault">${text}</p><p><a href="/">Back</a></p>`);
}
