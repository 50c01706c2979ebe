export default {
  testEnvironment: "node",
  testMatch: ["**/*_test.ts"],
  modulePathIgnorePatterns: ["<rootDir>/dist/", "<rootDir>/target/"],
  extensionsToTreatAsEsm: [".ts"],
  transform: {
    "^.+\\.ts$": [
      "@swc/jest",
      {
        jsc: { target: "es2022", parser: { syntax: "typescript" } },
        module: { type: "es6" },
      },
    ],
  },
  testTimeout: 30_000,
  maxWorkers: 4,
};
