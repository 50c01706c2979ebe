import { describe, expect, test } from "@jest/globals";
import type { ClientAccount } from "../document/mod.ts";
import type { FleetView } from "../membership/mod.ts";
import { createAccountLimits, createRetryBudget } from "./mod.ts";

const ACCOUNT: ClientAccount = {
  name: "a",
  apiKeySha256: "",
  requestsPerS: 10,
  priority: 0,
};

function countGranted(tries: number, take: () => boolean): number {
  return Array.from({ length: tries }, take).filter(Boolean).length;
}

describe("account limits", () => {
  // Guards against entries that together grant more than the limit.
  test("divides the rate by the number of live entries", () => {
    let now = 0;
    let live = ["e1", "e2"];
    let onChange: () => void = () => undefined;
    const view = {
      config: () => ({ document: { clientAccounts: [ACCOUNT] } }),
      hosts: () => ({
        hosts: live.map((name) => ({ name, role: "entry", state: "live" })),
      }),
      onChange: (handler: () => void) => (onChange = handler),
    } as unknown as FleetView;
    const limits = createAccountLimits({ entry: "e1", view, nowMs: () => now });
    const take = () => limits.takeToken(ACCOUNT) === 0;
    expect(countGranted(20, take)).toBe(5);
    expect(limits.takeToken(ACCOUNT)).toBeCloseTo(200);
    now += 10_000;
    expect(countGranted(20, take)).toBe(5);
    live = ["e2"];
    onChange();
    now += 1_000;
    expect(countGranted(20, take)).toBe(5);
    live = ["e1"];
    onChange();
    now += 1_000;
    expect(countGranted(20, take)).toBe(10);
  });
});

describe("retry budget", () => {
  // Guards against retries that multiply an overload.
  test("grants retries for 10% of the requests, and at least one a second", () => {
    let now = 0;
    const budget = createRetryBudget(() => now);
    expect(countGranted(50, budget.takeRetry)).toBe(10);
    now += 10_000;
    Array.from({ length: 500 }, budget.recordRequest);
    expect(countGranted(500, budget.takeRetry)).toBe(50);
    now += 5_000;
    expect(budget.takeRetry()).toBe(false);
    now += 5_000;
    expect(countGranted(50, budget.takeRetry)).toBe(10);
  });

  // Guards against retries after overload that use up the budget for requests
  // whose endpoint crashed.
  test("keeps half of the budget for other causes than overload", () => {
    const budget = createRetryBudget(() => 0);
    Array.from({ length: 500 }, budget.recordRequest);
    expect(countGranted(500, () => budget.takeRetry("overloaded"))).toBe(25);
    expect(countGranted(500, () => budget.takeRetry("other"))).toBe(25);
    expect(budget.takeRetry("overloaded")).toBe(false);
  });
});
