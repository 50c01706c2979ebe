import { expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createStatedLimits } from "../limits/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import { createReportedLimit } from "./reported_limit.ts";
import { createReport } from "./testing/mod.ts";

const ADDRESS = "10.0.0.1:8000";
function createLimits() {
  const time = { nowMs: 1_000 };
  const nowMs = () => time.nowMs;
  const statedLimits = createStatedLimits({
    nowMs,
    registry: createRegistry(),
    logger: SILENT_LOGGER,
  });
  const reported = createReportedLimit({
    address: ADDRESS,
    statedLimits,
    nowMs,
  });
  const read = (startedAtMs = 1_000) =>
    statedLimits.read({ address: ADDRESS, startedAtMs })?.ratePerS;
  return {
    read,
    statedLimits,
    report(requestLimitPerS: number | undefined, startedAtMs = 1_000) {
      time.nowMs += 150;
      const report = createReport({ startedAtMs, requestLimitPerS });
      return reported.onReport(report, time.nowMs - 5);
    },
  };
}

test("a limit that reports name is in force until one does not name it", () => {
  const { read, report } = createLimits();
  expect(report(Infinity)).toBe(false);
  expect(report(2)).toBe(true);
  expect(report(2)).toBe(false);
  expect(read()).toBe(2);
  expect(report(Infinity)).toBe(true);
  expect(read()).toBe(Infinity);
});

// Guards against reports that lack what responses say, which would end the
// limit 150 ms after an entry has learned of it.
test("a limit that only responses name is not ended by a report", () => {
  const { read, report, statedLimits } = createLimits();
  statedLimits.note(
    { address: ADDRESS, startedAtMs: 1_000 },
    { ratePerS: 2, sentAtMs: 900, heardAtMs: 950 },
    "response",
  );
  expect(report(Infinity)).toBe(false);
  expect(read()).toBe(2);
});

// Guards against a limit that is kept against the endpoint's next start.
test("a limit ends with the incarnation that named it", () => {
  const { read, report } = createLimits();
  report(2);
  report(Infinity, 2_000);
  expect(read(2_000)).toBeUndefined();
});

test("a value that cannot be read neither names nor ends a limit", () => {
  const { read, report } = createLimits();
  report(2);
  expect(report(undefined)).toBe(false);
  expect(read()).toBe(2);
});
