/** Renders a deployment template as DEPLOY.md describes: values, sections, inverted sections, `|json`, `{{@}}`, `{{.}}`, `{{,}}`. */

type Scope = readonly unknown[];

interface Entry {
    readonly key: string;
    readonly value: unknown;
    readonly isLast: boolean;
}

const isTable = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === "object" && value !== null;

/** Names are resolved in the innermost entry first. */
function lookUp(scope: Scope, name: string): unknown {
    if (name === ".") {
        return scope.at(-1);
    }
    for (const value of [...scope].reverse()) {
        const found = name.split(".").reduce<unknown>((part, key) => isTable(part) ? part[key] : undefined, value);
        if (found !== undefined) {
            return found;
        }
    }
    return undefined;
}

function entriesOf(value: unknown): Entry[] {
    if (!isTable(value)) {
        const isPresent = value !== undefined && value !== null && value !== false;
        return isPresent ? [{ key: "", value, isLast: true }] : [];
    }
    const pairs = Object.entries(value);
    return pairs.map(([key, part], index) => ({ key, value: part, isLast: index === pairs.length - 1 }));
}

function formatValue(value: unknown): string {
    if (value === undefined || value === null) {
        return "";
    }
    if (Array.isArray(value)) {
        return value.join(",");
    }
    return isTable(value) ? JSON.stringify(value) : String(value as string | number | boolean);
}

const sectionPattern = /\{\{([#^])([^{}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/;

export function renderTemplate(template: string, scope: Scope, entry?: Entry): string {
    const section = sectionPattern.exec(template);
    if (section !== null) {
        const [whole, kind, name, body] = section as unknown as [string, string, string, string];
        const value = lookUp(scope, name);
        const entries = entriesOf(value);
        const inner = kind === "^"
            ? entries.length === 0 ? renderTemplate(body, scope, entry) : ""
            : entries.map(part => renderTemplate(body, [...scope, part.value], part)).join("");
        const before = renderTemplate(template.slice(0, section.index), scope, entry);
        return before + inner + renderTemplate(template.slice(section.index + whole.length), scope, entry);
    }
    return template.replace(/\{\{([^{}|]+)(\|json)?\}\}/g, (_whole, name: string, json?: string) => {
        if (name === ",") {
            return entry?.isLast === false ? "," : "";
        }
        const value = name === "@" ? entry?.key : lookUp(scope, name);
        return json === undefined ? formatValue(value) : JSON.stringify(value) ?? "null";
    });
}
