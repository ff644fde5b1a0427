/** HTML templates for pages without scripts. */

/** Markup that is inserted without escaping. */
export interface Html {
    readonly html: string;
}

const escapes: Readonly<Record<string, string>> = { "&": "&amp;", "<": "&lt;", ">": "&gt;", "\"": "&quot;", "'": "&#39;" };

const escape = (text: string): string => text.replace(/[&<>"']/g, character => escapes[character]!);

type HtmlPart = Html | string | number | readonly Html[];

function render(part: HtmlPart): string {
    if (typeof part === "object") {
        return "html" in part ? part.html : part.map(item => item.html).join("");
    }
    return escape(String(part));
}

/** Template tag that escapes every interpolated value except `Html`. */
export function html(texts: TemplateStringsArray, ...parts: readonly HtmlPart[]): Html {
    return { html: texts.map((text, at) => text + (at < parts.length ? render(parts[at]!) : "")).join("") };
}

const style = `body{font:16px system-ui;margin:0 auto;max-width:70rem;padding:1rem;color:#222}
header{display:flex;justify-content:space-between;border-bottom:1px solid #ccc;margin-bottom:1rem}
table{border-collapse:collapse;width:100%}td,th{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #ddd;vertical-align:top}
label{display:block;margin:.5rem 0}input,select,textarea{font:inherit;min-width:24rem}
.added{color:#176f2c}.removed{color:#a11}.changed{color:#8a5a00}.fault{color:#a11;font-weight:bold}
nav a{margin-right:1rem}button{font:inherit;padding:.3rem .8rem}code{font-size:.85em;word-break:break-all}`;

/** Renders a complete page. */
export function page(title: string, operator: string | undefined, body: Html): string {
    const signOutForm = operator === undefined
        ? html``
        : html`<form method="post" action="/sign-out">${operator} <button>sign out</button></form>`;
    return html`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>${title} · pimentospring</title>
<meta name="viewport" content="width=device-width"><style>${{ html: style }}</style></head>
<body><header><a href="/">pimentospring</a>${signOutForm}</header><h1>${title}</h1>${body}</body></html>`.html;
}
