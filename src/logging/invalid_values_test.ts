import { expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import { createInvalidValues } from "./mod.ts";
import type { Logger } from "./mod.ts";

// Guards against a log that a faulty endpoint fills with a line per response.
test("values out of range are counted, and logged once a minute of each kind", () => {
  let nowMs = 0;
  const lines: unknown[] = [];
  const registry = createRegistry();
  const invalidValues = createInvalidValues({
    nowMs: () => nowMs,
    registry,
    logger: { warn: (line: unknown) => lines.push(line) } as unknown as Logger,
  });
  [0, 30_000, 59_999, 60_000].forEach((atMs) => {
    nowMs = atMs;
    invalidValues.note("load_header", { endpoint: "e" });
    invalidValues.note("pace", { endpoint: "e" });
  });
  expect(lines).toHaveLength(4);
  expect(registry.render()).toMatch(/invalid_values_total\{kind="pace"\} 4/);
});
