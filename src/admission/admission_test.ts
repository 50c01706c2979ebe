import { describe, expect, test } from "@jest/globals";
import { createAdmission } from "./mod.ts";
import type { Slot } from "./mod.ts";

function create(limits = { coldConcurrency: 1, warmConcurrency: 4 }) {
  let nowMs = 0;
  const admission = createAdmission({
    limits: () => ({ ...limits, maxQueued: 3 }),
    monotonicMs: () => nowMs,
  });
  return {
    admission,
    advance: (durationMs: number) => void (nowMs += durationMs),
  };
}

async function admitNow(admission: ReturnType<typeof create>["admission"]) {
  const { result } = admission.admit({ priority: 0, remainingMs: 60_000 });
  return (await result)._unsafeUnwrap();
}

describe("admission", () => {
  // Guards against more requests than a cold endpoint can run, and against a
  // limit that never recovers.
  test("the limit rises on success, halves on failure and resets to cold", async () => {
    const { admission } = create();
    admission.setCondition({ state: "cold" });
    (await admitNow(admission)).release("succeeded");
    expect(admission.limit()).toBe(1);
    admission.setCondition({ state: "warm" });
    for (let i = 0; i < 10; i += 1) {
      (await admitNow(admission)).release("succeeded");
    }
    expect(admission.limit()).toBe(4);
    (await admitNow(admission)).release("failed");
    expect(admission.limit()).toBe(2);
    admission.setCondition({ state: "cold" });
    expect(admission.limit()).toBe(1);
    admission.setCondition({ state: "warm" });
    admission.resetLimit();
    expect(admission.limit()).toBe(1);
    admission.setCondition({
      state: "closed",
      refusal: { code: "c", message: "m" },
    });
    expect(admission.limit()).toBe(0);
  });

  // Guards against requests of low priority that delay those of high priority,
  // in the queue or by filling it, and against a refusal that is delayed until
  // a slot is free.
  test("higher priority runs first; a full queue drops the lowest", async () => {
    const { admission } = create();
    admission.setCondition({ state: "cold" });
    const order: string[] = [];
    const first = await admitNow(admission);
    function add(name: string, priority: number) {
      const ticket = admission.admit({ priority, remainingMs: 60_000 });
      return ticket.result.then((result) => {
        result.map((slot: Slot) => {
          order.push(name);
          slot.release("succeeded");
        });
        return result;
      });
    }
    const low = add("low", 0);
    const dropped = [add("newer low", 0)];
    const high = add("high", 5);
    dropped.unshift(add("refused low", 0));
    const highest = add("highest", 9);
    expect(admission.queued()).toBe(3);
    const refusals = await Promise.all(dropped);
    refusals.forEach((refusal) => {
      expect(refusal._unsafeUnwrapErr().code).toBe("overloaded");
      expect(refusal._unsafeUnwrapErr().retryAfterMs).toBeGreaterThan(0);
    });
    first.release("succeeded");
    await Promise.all([low, high, highest]);
    expect(order).toEqual(["highest", "high", "low"]);
  });

  // Guards against a queued request that is dropped for one of equal priority.
  test("a queue full of equal priorities refuses the newest", async () => {
    const { admission } = create();
    admission.setCondition({ state: "cold" });
    await admitNow(admission);
    const request = { priority: 9, remainingMs: 60_000 };
    const tickets = Array.from({ length: 3 }, () => admission.admit(request));
    const { result } = admission.admit(request);
    expect((await result)._unsafeUnwrapErr().code).toBe("overloaded");
    expect(admission.queued()).toBe(3);
    tickets.forEach(({ cancel }) => cancel());
  });

  // Guards against a request of low priority that is overtaken until its
  // deadline.
  test("refuses a request that was overtaken as often as the queue is long", async () => {
    const { admission } = create();
    admission.setCondition({ state: "cold" });
    let running = await admitNow(admission);
    const { result } = admission.admit({ priority: 0, remainingMs: 60_000 });
    for (let i = 0; i < 2; i += 1) {
      const high = admission.admit({ priority: 1, remainingMs: 60_000 });
      running.release("succeeded");
      running = (await high.result)._unsafeUnwrap();
      expect(admission.queued()).toBe(1);
    }
    admission.admit({ priority: 1, remainingMs: 60_000 }).cancel();
    const refusal = (await result)._unsafeUnwrapErr();
    expect(refusal.code).toBe("overloaded");
    expect(refusal.retryAfterMs).toBeGreaterThan(0);
  });

  // Guards against a request of low priority that is queued although higher
  // priorities take all slots, and is refused only later.
  test("refuses at once if higher priorities take all slots", async () => {
    const { admission, advance } = create();
    admission.setCondition({ state: "cold" });
    let running = await admitNow(admission);
    for (let i = 0; i < 50; i += 1) {
      const high = admission.admit({ priority: 1, remainingMs: 60_000 });
      advance(1_000);
      running.release("succeeded");
      running = (await high.result)._unsafeUnwrap();
    }
    const low = { priority: 0, remainingMs: 60_000 };
    const first = admission.admit(low);
    expect(admission.queued()).toBe(1);
    const second = (await admission.admit(low).result)._unsafeUnwrapErr();
    expect(second.code).toBe("overloaded");
    expect(second.retryAfterMs).toBeGreaterThan(4_000);
    const high = admission.admit({ priority: 1, remainingMs: 60_000 });
    expect(admission.queued()).toBe(2);
    high.cancel();
    first.cancel();
  });

  // Guards against queueing a request that cannot run before its deadline, and
  // against retry times that ignore the speed of the endpoint.
  test("refuses at once by the measured service rate", async () => {
    const { admission, advance } = create();
    admission.setCondition({ state: "cold" });
    for (let i = 0; i < 60; i += 1) {
      const slot = await admitNow(admission);
      advance(5_000);
      slot.release("succeeded");
    }
    await admitNow(admission);
    const { result } = admission.admit({ priority: 0, remainingMs: 3_000 });
    const refusal = (await result)._unsafeUnwrapErr();
    expect(refusal.code).toBe("overloaded");
    expect(refusal.retryAfterMs).toBeGreaterThan(4_000);
    expect(refusal.retryAfterMs).toBeLessThan(6_000);
  });

  // Guards against requests that stay queued for a closed endpoint.
  test("closing refuses all queued requests; cancelling leaves the queue", async () => {
    const { admission } = create();
    admission.setCondition({ state: "cold" });
    await admitNow(admission);
    const ticket = admission.admit({ priority: 0, remainingMs: 60_000 });
    const left = admission.admit({ priority: 0, remainingMs: 60_000 });
    left.cancel();
    expect((await left.result)._unsafeUnwrapErr().code).toBe("caller_left");
    admission.setCondition({
      state: "closed",
      refusal: { code: "endpoint_leaving", message: "m", retryAfterMs: 1 },
    });
    const refusal = (await ticket.result)._unsafeUnwrapErr();
    expect(refusal.code).toBe("endpoint_leaving");
    expect(admission.queued()).toBe(0);
  });

  // Guards against a request that is queued beyond the caller's deadline.
  test("a request leaves the queue at its deadline", async () => {
    const { admission, advance } = create();
    admission.setCondition({ state: "cold" });
    const quick = await admitNow(admission);
    advance(1);
    quick.release("succeeded");
    for (let i = 0; i < 80; i += 1) {
      (await admitNow(admission)).release("succeeded");
    }
    await admitNow(admission);
    const { result } = admission.admit({ priority: 0, remainingMs: 50 });
    expect((await result)._unsafeUnwrapErr().code).toBe("deadline_exceeded");
  });
});
