import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { createRegistry } from "../metrics/mod.ts";
import { createBufferBudget } from "./buffer_budget.ts";

const create = (limitBytes: number) =>
  createBufferBudget(limitBytes, {
    registry: createRegistry(),
    purpose: "test",
  });

// Guards against small answers that end because of a sender of endless bytes.
test("above the limit the largest holder is ended and the others are kept", () => {
  const budget = create(100);
  const ended: string[] = [];
  const small = budget.open(() => ended.push("small"));
  const endless = budget.open(() => ended.push("endless"));
  endless.hold(60);
  small.hold(30);
  expect(ended).toEqual([]);
  small.hold(45);
  expect(ended).toEqual(["endless"]);
  expect(budget.heldBytes()).toBe(45);
  endless.hold(1_000);
  expect(budget.heldBytes()).toBe(45);
});

test("a holder that is kept is not ended", () => {
  const budget = create(100);
  const ended: string[] = [];
  const kept = budget.open(() => ended.push("kept"));
  kept.hold(90);
  kept.keep();
  const other = budget.open(() => ended.push("other"));
  other.hold(20);
  expect(ended).toEqual(["other"]);
  kept.close();
  kept.close();
  expect(budget.heldBytes()).toBe(0);
});

test("the bytes of all holders that may be ended never exceed the limit", () => {
  const steps = fc.array(
    fc.record({ holder: fc.nat(9), sizeBytes: fc.nat(80) }),
  );
  fc.assert(
    fc.property(steps, (sizes) => {
      const budget = create(100);
      const holders = Array.from({ length: 10 }, () =>
        budget.open(() => undefined),
      );
      sizes.forEach(({ holder, sizeBytes }) => {
        holders[holder]!.hold(sizeBytes);
        expect(budget.heldBytes()).toBeLessThanOrEqual(100);
      });
      holders.forEach((holder) => holder.close());
      expect(budget.heldBytes()).toBe(0);
    }),
  );
});
