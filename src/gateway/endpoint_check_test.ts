import { expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createEndpointCheck } from "./endpoint_check.ts";
import type { StartTimeFailure } from "./endpoint_check.ts";

type StartTime = Result<number | undefined, StartTimeFailure>;

const ENDPOINT = {
  id: "e1",
  service: "pool",
  address: "127.0.0.1:1",
  startedAtMs: 1_000,
};
const UNREACHABLE = err("connection" as const);
const GONE = err("not_listening" as const);

/** Checks an engine with these results, in turn, and counts them. */
function createEngineCheck(results: readonly StartTime[]) {
  const left = [...results];
  const check = createEndpointCheck({
    readStartTime: () => Promise.resolve(left.shift() ?? UNREACHABLE),
    checkIncarnation: () => Promise.resolve(UNREACHABLE),
    readListedStart: () => undefined,
    isListening: () => Promise.resolve(false),
    logger: SILENT_LOGGER,
  });
  return {
    check,
    mayHaveCrashed: (
      endpoint:
        typeof ENDPOINT | Omit<typeof ENDPOINT, "startedAtMs"> = ENDPOINT,
      hasEngine = true,
    ) => check.mayHaveCrashed(endpoint, { hasEngine, callId: "a1" }),
    countLeft: () => left.length,
  };
}

/** Confirms the end of a response with these results of the checks, in turn. */
function confirm(
  results: readonly StartTime[],
  endpoint: typeof ENDPOINT | Omit<typeof ENDPOINT, "startedAtMs"> = ENDPOINT,
  hasEngine = true,
) {
  const left = [...results];
  const next = () => Promise.resolve(left.shift() ?? UNREACHABLE);
  return createEndpointCheck({
    readStartTime: next,
    checkIncarnation: () => Promise.resolve(UNREACHABLE),
    readListedStart: () => undefined,
    isListening: async () => (await next()).isOk(),
    logger: SILENT_LOGGER,
  }).confirmEnd(endpoint, { hasEngine, healthPath: undefined, callId: "a1" });
}

/** As `confirm`, for an endpoint of a service with a health check. */
function confirmByHealthCheck(
  results: readonly Result<boolean, string>[],
  listedStartMs: number | undefined = ENDPOINT.startedAtMs,
) {
  const left = [...results];
  return createEndpointCheck({
    readStartTime: () => Promise.resolve(UNREACHABLE),
    checkIncarnation: () => Promise.resolve(left.shift() ?? UNREACHABLE),
    readListedStart: () => listedStartMs,
    // Whatever has the address now accepts connections.
    isListening: () => Promise.resolve(true),
    logger: SILENT_LOGGER,
  }).confirmEnd(ENDPOINT, {
    hasEngine: false,
    healthPath: "/health",
    callId: "a1",
  });
}

// Guards against half of a response that is passed on as a whole one, since
// something listens at the address again after the endpoint has crashed.
test("the end is confirmed only by the endpoint that sent the response", async () => {
  expect(await confirmByHealthCheck([ok(true)])).toBe(true);
  expect(await confirmByHealthCheck([ok(false)])).toBe(false);
  expect(await confirmByHealthCheck([UNREACHABLE, ok(false)])).toBe(false);
  expect(await confirmByHealthCheck([UNREACHABLE, ok(true)])).toBe(true);
  expect(await confirmByHealthCheck([])).toBe(false);
});

test("the end is not confirmed by an endpoint that is listed with a later start", async () => {
  expect(await confirmByHealthCheck([ok(true)], 2_000)).toBe(false);
  expect(await confirmByHealthCheck([ok(true)], undefined)).toBe(true);
});

// Guards against a cut response that is taken for complete since the endpoint
// is back by the time at which it is asked.
test("the end is not confirmed by an endpoint that has started again", async () => {
  expect(await confirm([ok(1_000)])).toBe(true);
  expect(await confirm([ok(2_000)])).toBe(false);
  expect(await confirm([UNREACHABLE, ok(2_000)])).toBe(false);
});

test("the end is not confirmed by an endpoint that cannot be reached", async () => {
  expect(await confirm([])).toBe(false);
  expect(await confirm([], ENDPOINT, false)).toBe(false);
});

// Guards against a complete response that is thrown away because the endpoint
// refuses one connection.
test("the endpoint is asked again if it cannot be reached once", async () => {
  expect(await confirm([UNREACHABLE, ok(1_000)])).toBe(true);
  expect(await confirm([UNREACHABLE, ok(undefined)], ENDPOINT, false)).toBe(
    true,
  );
});

test("an unknown start is not compared", async () => {
  const { startedAtMs: _, ...endpoint } = ENDPOINT;
  expect(await confirm([ok(2_000)], endpoint)).toBe(true);
  expect(await confirm([ok(undefined)])).toBe(true);
});

// Guards against lost responses that are taken for crashes of their endpoint.
test("an endpoint that runs on with the same start has not crashed", async () => {
  expect(await createEngineCheck([ok(1_000)]).mayHaveCrashed()).toBe(false);
  const { mayHaveCrashed } = createEngineCheck([UNREACHABLE, ok(1_000)]);
  expect(await mayHaveCrashed()).toBe(false);
});

// Guards against a crash that is overlooked as the endpoint is back at once.
test("an endpoint that has started again may have crashed", async () => {
  expect(await createEngineCheck([ok(2_000)]).mayHaveCrashed()).toBe(true);
  const { mayHaveCrashed } = createEngineCheck([UNREACHABLE, ok(2_000)]);
  expect(await mayHaveCrashed()).toBe(true);
});

test("an endpoint may have crashed if its start is not known", async () => {
  const { startedAtMs: _, ...endpoint } = ENDPOINT;
  const { mayHaveCrashed } = createEngineCheck([ok(1_000)]);
  expect(await mayHaveCrashed(endpoint)).toBe(true);
  const unstated = createEngineCheck([ok(undefined)]);
  expect(await unstated.mayHaveCrashed()).toBe(true);
  expect(await createEngineCheck([]).mayHaveCrashed()).toBe(true);
  const plain = createEngineCheck([ok(1_000)]);
  expect(await plain.mayHaveCrashed(ENDPOINT, false)).toBe(true);
});

// Guards against more crashes by a request whose first one is known too late.
test("an endpoint that does not listen any more is asked only once", async () => {
  const { mayHaveCrashed, countLeft } = createEngineCheck([GONE, ok(1_000)]);
  expect(await mayHaveCrashed()).toBe(true);
  expect(countLeft()).toBe(1);
});

// Guards against a call that waits for more than a second for the check before it
// is sent elsewhere.
test("an endpoint that does not answer the check is asked only once", async () => {
  const { mayHaveCrashed, countLeft } = createEngineCheck([
    err("timeout"),
    ok(1_000),
  ]);
  expect(await mayHaveCrashed()).toBe(true);
  expect(countLeft()).toBe(1);
});

test("the end is confirmed by an endpoint that answers the second check", async () => {
  expect(await confirm([err("timeout"), ok(1_000)])).toBe(true);
});

// Guards against a burst of checks after a crash that breaks off many requests.
test("connections that are closed at the same time lead to one check", async () => {
  const { mayHaveCrashed, countLeft } = createEngineCheck([
    ok(1_000),
    ok(2_000),
  ]);
  const together = [mayHaveCrashed(), mayHaveCrashed()];
  expect(await Promise.all(together)).toEqual([false, false]);
  expect(countLeft()).toBe(1);
  expect(await mayHaveCrashed()).toBe(true);
});
