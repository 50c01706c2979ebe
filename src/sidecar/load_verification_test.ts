import { expect, test } from "@jest/globals";
import { createLoadVerification } from "./load_verification.ts";
import { createReport } from "./testing/mod.ts";

const SERVING = { models: [{ name: "m", version: 1 }] };

function start() {
  let nowMs = 0;
  const verification = createLoadVerification(() => nowMs);
  return {
    verification,
    wait: (ms: number) => void (nowMs += ms),
    report: (fields: Parameters<typeof createReport>[0]) =>
      verification.onReport(createReport(fields), nowMs),
    order: (acceptedOrders: number) =>
      verification.onOrderAccepted({ acceptedOrders, sentAtMs: nowMs }),
    check: (areChunksValid: boolean) =>
      verification.startCheck()(areChunksValid),
  };
}

test("a load is sound if all chunks are valid and none was written since its order", () => {
  const { verification, wait, report, order, check } = start();
  report({});
  wait(10);
  verification.onWrite();
  wait(10);
  order(1);
  expect(verification.state()).toBe("unverified");
  check(true);
  expect(verification.state()).toBe("sound");
  report({ ...SERVING, acceptedOrders: 1 });
  expect(verification.state()).toBe("sound");
});

test("a load whose chunks were written since its order, or are corrupt, is unsound", () => {
  const written = start();
  written.order(1);
  written.wait(10);
  written.verification.onWrite();
  written.check(true);
  expect(written.verification.state()).toBe("unsound");
  const corrupt = start();
  corrupt.order(1);
  corrupt.check(false);
  corrupt.check(true);
  expect(corrupt.verification.state()).toBe("unsound");
});

// Guards against a load at an empty endpoint that counts as sound because a
// report from before its order arrives after it.
test("a report from before the order does not verify its load", () => {
  const { verification, report, order, check } = start();
  report({});
  order(1);
  report({});
  expect(verification.state()).toBe("unverified");
  check(false);
  expect(verification.state()).toBe("unsound");
});

test("a load that no order of this process explains is not verified", () => {
  const { verification, report, wait } = start();
  report({ ...SERVING, acceptedOrders: 3 });
  expect(verification.state()).toBe("sound");
  wait(10);
  report({ ...SERVING, acceptedOrders: 4 });
  expect(verification.state()).toBe("unverified");
});

test("the result of a check does not count for a load that began during it", () => {
  const { verification, report, order } = start();
  report({ ...SERVING, acceptedOrders: 0 });
  order(1);
  const finish = verification.startCheck();
  report({ ...SERVING, acceptedOrders: 2 });
  finish(true);
  expect(verification.state()).toBe("unverified");
});

test("an endpoint that has started again holds nothing unsound", () => {
  const { verification, report, order, check } = start();
  report({ ...SERVING, acceptedOrders: 1, startedAtMs: 1 });
  order(2);
  check(false);
  report({ startedAtMs: 2 });
  expect(verification.state()).toBe("sound");
});
