import { expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createEndConfirmation } from "./end_confirmation.ts";

type StartTime = Result<number | undefined, string>;

const ENDPOINT = {
  id: "e1",
  service: "pool",
  address: "127.0.0.1:1",
  startedAtMs: 1_000,
};
const UNREACHABLE = err("connection");

/** Confirms the end of a response with these results of the checks, in turn. */
function confirm(
  results: readonly StartTime[],
  endpoint: typeof ENDPOINT | Omit<typeof ENDPOINT, "startedAtMs"> = ENDPOINT,
  hasEngine = true,
) {
  const left = [...results];
  const next = () => Promise.resolve(left.shift() ?? UNREACHABLE);
  return createEndConfirmation({
    readStartTime: next,
    checkIncarnation: () => Promise.resolve(UNREACHABLE),
    readListedStart: () => undefined,
    isListening: async () => (await next()).isOk(),
    logger: SILENT_LOGGER,
  }).confirm(endpoint, { hasEngine, healthPath: undefined, callId: "a1" });
}

/** As `confirm`, for an endpoint of a service with a health check. */
function confirmByHealthCheck(
  results: readonly Result<boolean, string>[],
  listedStartMs: number | undefined = ENDPOINT.startedAtMs,
) {
  const left = [...results];
  return createEndConfirmation({
    readStartTime: () => Promise.resolve(UNREACHABLE),
    checkIncarnation: () => Promise.resolve(left.shift() ?? UNREACHABLE),
    readListedStart: () => listedStartMs,
    // Whatever has the address now accepts connections.
    isListening: () => Promise.resolve(true),
    logger: SILENT_LOGGER,
  }).confirm(ENDPOINT, {
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
