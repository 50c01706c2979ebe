import { expect, test } from "@jest/globals";
import { isLikelyQueued } from "./queued_request.ts";
import { createReport } from "./testing/load_report.ts";

const busy = { report: createReport({ running: 12, waiting: 6 }) };

test("a request in the queue of a busy endpoint is not taken for a lost one", () => {
  const request = { load: busy, waitedMs: 1_800, forecastMs: 900 };
  expect(isLikelyQueued(request)).toBe(true);
});

// Guards against callers who wait for an endpoint that answers nothing.
test.each([
  { what: "nothing waits there", report: createReport({ waiting: 0 }) },
  { what: "its agent does not report", report: undefined },
  {
    what: "it is down",
    report: createReport({ waiting: 6, phase: "down" }),
  },
])("a request at a silent endpoint is given up when $what", ({ report }) => {
  const request = { load: { report }, waitedMs: 1_800, forecastMs: 900 };
  expect(isLikelyQueued(request)).toBe(false);
});

test("a request that waits far longer than forecast is given up", () => {
  const request = { load: busy, waitedMs: 1_300, forecastMs: 200 };
  expect(isLikelyQueued(request)).toBe(false);
});
