import tseslint from "typescript-eslint";

export default tseslint.config(
  { ignores: ["dist/", "target/", "node_modules/", "coverage/"] },
  ...tseslint.configs.recommended,
  {
    files: ["**/*.ts"],
    rules: {
      "func-style": ["error", "declaration", { allowArrowFunctions: true }],
      "max-params": ["error", { max: 3 }],
      "no-console": "off",
      "prefer-const": "error",
      eqeqeq: "error",
      "@typescript-eslint/consistent-type-imports": "error",
      "@typescript-eslint/no-unused-vars": [
        "error",
        { argsIgnorePattern: "^_", varsIgnorePattern: "^_" },
      ],
    },
  },
);
