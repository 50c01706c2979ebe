import { expect, test } from "@jest/globals";
import { DEPLOYMENTS } from "./deployments.ts";
import { createEngineModel } from "./engine_model.ts";
import type { EndpointRequest } from "./endpoint_model.ts";
import { createEventQueue } from "./event_queue.ts";

const { engine: FIGURES } = DEPLOYMENTS[0]!;

/** Offers requests at time 0 and returns what became of each. */
function serve(
  requests: readonly Partial<EndpointRequest & { readonly atMs: number }>[],
  slowdown = 1,
) {
  const queue = createEventQueue();
  const engine = createEngineModel(FIGURES, {
    queue,
    readSlowdown: () => slowdown,
  });
  const results = requests.map(() => ({
    outcome: "",
    firstEventMs: NaN,
    endMs: NaN,
    longestPauseMs: NaN,
  }));
  requests.forEach(({ atMs = 0, ...fields }, index) => {
    const result = results[index]!;
    const end = (outcome: string) =>
      Object.assign(result, { outcome, endMs: queue.nowMs() });
    const request: EndpointRequest = {
      promptTokens: 16,
      eventCount: 1,
      workMs: 0,
      priority: 5,
      deadlineMs: 60_000,
      onFirstEvent: () => void (result.firstEventMs = queue.nowMs()),
      onEnd(longestPauseMs) {
        end("served");
        result.longestPauseMs = longestPauseMs;
      },
      onNotRun: () => void end("not_run"),
      onCut: () => void end("cut"),
      ...fields,
    };
    queue.schedule(atMs, () => engine.offer(request));
  });
  queue.run();
  return results;
}

function repeat<T>(count: number, item: T): readonly T[] {
  return Array.from({ length: count }, () => item);
}

// Guards against engines that are faster or slower than published.
test("12 running requests get an event in each pass of about 50 ms", () => {
  const events = 21;
  const [first] = serve(repeat(12, { promptTokens: 941, eventCount: events }));
  const intervalMs = (first!.endMs - first!.firstEventMs) / (events - 1);
  expect(intervalMs).toBeGreaterThan(48);
  expect(intervalMs).toBeLessThan(52);
});

test("a prompt of 1,290 tokens takes 62 ms to read", () => {
  const [large] = serve([{ promptTokens: 1_290 }]);
  const [empty] = serve([{ promptTokens: 0 }]);
  expect(large!.firstEventMs - empty!.firstEventMs).toBeCloseTo(62.3, 0);
});

test("times are longer by the slowdown", () => {
  const request = { promptTokens: 1_290, eventCount: 10 };
  const [usual] = serve([request]);
  const [slow] = serve([request], 2.5);
  expect(slow!.endMs).toBeCloseTo(2.5 * usual!.endMs, 6);
});

// 10 prompts of 2,048 tokens take 990 ms to read.
test("a pass is delayed by one read of 2,048 tokens before each step", () => {
  const [running] = serve([
    { eventCount: 40 },
    ...repeat(10, { atMs: 200, promptTokens: 2_048 }),
  ]);
  expect(running!.longestPauseMs).toBeGreaterThan(5 * 98);
  expect(running!.longestPauseMs).toBeLessThan(5 * 99 + 60);
});

test("12 requests run, 24 wait, and further ones are refused at once", () => {
  const results = serve(repeat(40, { eventCount: 20 }));
  const refused = results.filter(({ outcome }) => outcome === "not_run");
  expect(refused).toHaveLength(4);
  expect(refused.every(({ endMs }) => endMs === 0)).toBe(true);
});

test("of the waiting requests the most urgent starts first, then the oldest", () => {
  const results = serve([
    ...repeat(12, { eventCount: 20 }),
    { atMs: 1 },
    { atMs: 2, priority: 0 },
    ...repeat(11, { atMs: 3, priority: 0 }),
  ]);
  const [least, most] = results.slice(12);
  expect(most!.firstEventMs).toBeLessThan(least!.firstEventMs);
});

test("a request that still waits at its deadline is refused, a running one is cut", () => {
  const [running, waiting] = [
    ...serve([
      ...repeat(12, { eventCount: 100, deadlineMs: 1_000 }),
      { deadlineMs: 500 },
    ]),
  ].slice(11);
  expect(running).toMatchObject({ outcome: "cut", endMs: 1_000 });
  expect(waiting).toMatchObject({ outcome: "not_run", endMs: 500 });
});
