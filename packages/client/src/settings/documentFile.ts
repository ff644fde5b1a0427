/** Reads a document file: JSON if its name ends in `.json`, otherwise TOML. */
import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { err, ok, type Result } from "true-myth/result";

export function readDocumentFile(file: string): Result<unknown, string> {
    try {
        const text = readFileSync(file, "utf8");
        return ok(file.endsWith(".json") ? JSON.parse(text) as unknown : parse(text));
    }
    catch (error) {
        return err(`${file}: ${(error as Error).message.split("\n")[0]}`);
    }
}
