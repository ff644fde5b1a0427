import stylistic from "@stylistic/eslint-plugin";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**", "journal/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts", "**/*.mjs"],
        plugins: { "@stylistic": stylistic },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 470, skipBlankLines: false, skipComments: false }],
            "no-restricted-properties": ["error", {
                object: "Math",
                property: "random",
                message: "Take a Random from the wiring.",
            }],
            "no-var": "error",
            "one-var": ["error", "never"],
            "prefer-const": "error",
            "@stylistic/brace-style": ["error", "stroustrup", { allowSingleLine: false }],
            "@stylistic/max-statements-per-line": ["error", { max: 1 }],
            "@stylistic/quotes": ["error", "double", { avoidEscape: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z][a-z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
            ],
            "@typescript-eslint/no-non-null-assertion": "off",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_" }],
        },
    },
);
