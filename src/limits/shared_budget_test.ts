import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { createRetryBudget } from "./mod.ts";

const RATIO = 0.2;
const EXTRA = 100;
const WINDOW_MS = 10_000;
/** Must equal the share that start_gateway.ts uses. */
const USED_SHARE = 0.75;

interface Event {
  readonly atMs: number;
  readonly type: "request" | "retry";
}

/** Simulates entries that retry as often as their own budgets allow. */
function simulateEntries(
  entries: number,
  requests: readonly { readonly gapMs: number; readonly entry: number }[],
): readonly Event[] {
  let now = 0;
  const budgets = Array.from({ length: entries }, () =>
    createRetryBudget(() => now, {
      retryRatio: RATIO * USED_SHARE,
      getMinimum: () => (EXTRA * USED_SHARE) / entries,
    }),
  );
  return requests.flatMap(({ gapMs, entry }) => {
    now += gapMs;
    const budget = budgets[entry % entries]!;
    budget.recordRequest();
    const events: Event[] = [{ atMs: now, type: "request" }];
    while (events.length < 4 && budget.takeRetry()) {
      events.push({ atMs: now, type: "retry" });
    }
    return events;
  });
}

function countEvents(
  events: readonly Event[],
  type: Event["type"],
  fromMs: number,
) {
  return events.filter(
    (event) =>
      event.type === type &&
      event.atMs >= fromMs &&
      event.atMs < fromMs + WINDOW_MS,
  ).length;
}

// Guards against entries that keep their own budgets but exceed the shared one.
test("the retries of all entries together stay within the shared budget", () => {
  const burst = fc.record({
    gapMs: fc.integer({ min: 0, max: 60 }),
    entry: fc.nat(7),
  });
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 8 }),
      fc.array(burst, { minLength: 50, maxLength: 900 }),
      (entries, requests) => {
        const events = simulateEntries(entries, requests);
        const starts = events
          .filter((_, index) => index % 25 === 0)
          .map(({ atMs }) => atMs);
        starts.forEach((startMs) => {
          const requestCount = Math.max(
            countEvents(events, "request", startMs),
            countEvents(events, "request", startMs - WINDOW_MS),
            countEvents(events, "request", startMs - WINDOW_MS / 2),
          );
          expect(countEvents(events, "retry", startMs)).toBeLessThanOrEqual(
            RATIO * requestCount + EXTRA,
          );
        });
      },
    ),
    { numRuns: 60 },
  );
});
