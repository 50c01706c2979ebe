import { expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import { createStatedLimits } from "./mod.ts";

const ENDPOINT = { address: "10.0.0.1:8000", startedAtMs: 1_000 };

function createLimits() {
  const lines: unknown[] = [];
  const registry = createRegistry();
  const limits = createStatedLimits({
    nowMs: () => 10_000,
    registry,
    logger: {
      ...SILENT_LOGGER,
      info: (fields: object, text: string) => lines.push({ ...fields, text }),
    } as unknown as typeof SILENT_LOGGER,
  });
  const note = (ratePerS: number, sentAtMs: number, endpoint = ENDPOINT) =>
    limits.note(
      endpoint,
      { ratePerS, sentAtMs, heardAtMs: sentAtMs + 10 },
      "response",
    );
  return { limits, note, lines, registry };
}

// Guards against logs that grow with the responses, and against a change of
// belief that leaves no line.
test("each change of a request limit is logged and counted once", () => {
  const { note, lines, registry } = createLimits();
  note(Infinity, 0);
  [100, 120, 140].forEach((atMs) => note(1.6, atMs));
  note(1, 160);
  note(Infinity, 180);
  note(Infinity, 200);
  const fields = { ...ENDPOINT, source: "response" };
  const named = { ...fields, text: "endpoint names a request limit" };
  expect(lines).toEqual([
    { ...named, ratePerS: 1.6, ageMs: 9_890 },
    { ...named, ratePerS: 1, formerPerS: 1.6, ageMs: 9_830 },
    {
      ...fields,
      formerPerS: 1,
      ageMs: 9_810,
      text: "request limit of an endpoint has ended",
    },
  ]);
  const changes = registry.counter("request_limit_changes_total", "");
  expect(changes.read({ kind: "named" })).toBe(2);
  expect(changes.read({ kind: "ended" })).toBe(1);
});

// Guards against a limit that is kept against another endpoint.
test.each([{ startedAtMs: 2_000 }, { address: "10.0.0.2:8000" }])(
  "a request limit does not hold for an endpoint with %p",
  (fields) => {
    const { limits, note } = createLimits();
    note(1, 100);
    expect(limits.read(ENDPOINT)?.ratePerS).toBe(1);
    expect(limits.read({ ...ENDPOINT, ...fields })).toBeUndefined();
  },
);
