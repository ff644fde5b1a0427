/** Renders the platform's templates: values, values as JSON, sections and inverted sections, as far as ours use them. */

export type TemplateValue = string | number | boolean | null | readonly TemplateValue[] | TemplateTable;

export interface TemplateTable {
    readonly [name: string]: TemplateValue;
}

/** Where names are looked up: the entry of the innermost section first, then the ones around it. */
interface Scope {
    readonly entry: TemplateValue;
    readonly key: string;
    readonly outer: Scope | undefined;
}

interface Entry {
    readonly key: string;
    readonly value: TemplateValue;
}

const tagPattern = /\{\{([#^/]?)([^{}|]+)(\|json)?\}\}/;

export function renderTemplate(template: string, fields: TemplateTable): string {
    return renderText(template, { entry: fields, key: "", outer: undefined });
}

function renderText(text: string, scope: Scope): string {
    const tag = tagPattern.exec(text);
    if (tag === null) {
        return text;
    }
    const [whole, kind, name, json] = tag as unknown as readonly [string, string, string, string | undefined];
    const before = text.slice(0, tag.index);
    const after = text.slice(tag.index + whole.length);
    if (kind === "") {
        const value = name === "@" ? scope.key : lookUp(name, scope);
        return before + formatValue(value, json !== undefined) + renderText(after, scope);
    }
    const end = `{{/${name}}}`;
    const endsAt = after.indexOf(end);
    if (endsAt === -1 || kind === "/") {
        throw new Error(`${whole} in the template has no counterpart`);
    }
    const value = lookUp(name, scope);
    const body = after.slice(0, endsAt);
    const section = kind === "^" ? renderInverted(body, value, scope) : renderSection(body, value, scope);
    return before + section + renderText(after.slice(endsAt + end.length), scope);
}

const isAbsent = (value: TemplateValue | undefined): boolean => value === undefined || value === null || value === false;

const renderInverted = (body: string, value: TemplateValue | undefined, scope: Scope): string =>
    isAbsent(value) ? renderText(body, scope) : "";

function renderSection(body: string, value: TemplateValue | undefined, scope: Scope): string {
    return entriesOf(value).map(entry => renderText(body, { entry: entry.value, key: entry.key, outer: scope })).join("");
}

function entriesOf(value: TemplateValue | undefined): readonly Entry[] {
    if (isAbsent(value)) {
        return [];
    }
    return typeof value === "object"
        ? Object.entries(value as TemplateTable).map(([key, entry]) => ({ key, value: entry }))
        : [{ key: "", value: value! }];
}

function lookUp(name: string, scope: Scope): TemplateValue | undefined {
    if (name === ".") {
        return scope.entry;
    }
    for (let at: Scope | undefined = scope; at !== undefined; at = at.outer) {
        const value = memberOf(at.entry, name.split("."));
        if (value !== undefined) {
            return value;
        }
    }
    return undefined;
}

function memberOf(value: TemplateValue, names: readonly string[]): TemplateValue | undefined {
    let member: TemplateValue | undefined = value;
    for (const name of names) {
        member = typeof member === "object" && member !== null ? (member as TemplateTable)[name] : undefined;
    }
    return member;
}

function formatValue(value: TemplateValue | undefined, isJson: boolean): string {
    if (value === undefined || value === null) {
        return isJson ? "null" : "";
    }
    if (isJson) {
        return JSON.stringify(value);
    }
    if (Array.isArray(value)) {
        return value.map(item => formatValue(item as TemplateValue, false)).join(",");
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value);
}
