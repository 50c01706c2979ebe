/** Streams without length or chunks, and the death of a process midway. */

import { afterEach, beforeAll, expect, test } from "@jest/globals";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";
import { buildPrograms } from "../build_programs.ts";
import { startServingFleet } from "./serving_fleet.ts";

const CALL_TIMEOUT_MS = 6_000;
const STREAMS = 6;
const EVENTS = 10;
const EVENT_INTERVAL_MS = 100;
/** Each stream has some events by then. */
const MIDWAY_MS = 450;
const COMPLETE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: token ${index + 1}\n\n`,
).join("");

let fleet: PlatformFleet | undefined;

beforeAll(() => buildPrograms(), 120_000);

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

async function startFleet() {
  const { fleet: started, call } = await startServingFleet(
    {
      gateways: 1,
      workers: [1, 1],
      worker: { eventCount: EVENTS, eventIntervalMs: EVENT_INTERVAL_MS },
      callTimeoutMs: CALL_TIMEOUT_MS,
    },
    (created) => (fleet = created),
  );
  started.workers.forEach(({ faults }) => {
    faults.isUnframed = true;
  });
  return { started, call };
}

/** Starts streams, ends a process midway, and returns the results. */
async function streamBeside(
  call: Awaited<ReturnType<typeof startFleet>>["call"],
  endProcess: () => void,
) {
  const calls = Array.from({ length: STREAMS }, (_, index) =>
    call(`s${index}`),
  );
  await new Promise((resolve) => setTimeout(resolve, MIDWAY_MS));
  endProcess();
  return Promise.all(calls);
}

test("a stream without length is complete at its caller", async () => {
  const { call } = await startFleet();
  const results = await streamBeside(call, () => undefined);
  results.forEach((result) =>
    expect(result).toMatchObject({ isWhole: true, body: COMPLETE_STREAM }),
  );
}, 30_000);

// Guards against a part of a stream that looks complete: the kernel of a killed
// entry closes the connections to its callers in order.
test("a stream without length does not look complete if its entry is killed", async () => {
  const { started, call } = await startFleet();
  const results = await streamBeside(call, () =>
    started.gateways[0]!.process.kill("SIGKILL"),
  );
  expect(results.map(({ isWhole }) => isWhole)).toEqual(
    Array.from({ length: STREAMS }, () => false),
  );
}, 30_000);

// Guards against the same from the kernel of a killed endpoint. The retry budget
// allows only some of the streams to be resumed.
test("a stream without length is resumed, or seen to be cut, if its endpoint is killed", async () => {
  const { started, call } = await startFleet();
  const [killed, other] = started.workers;
  const results = await streamBeside(call, () => killed!.crash());
  results.forEach(({ isWhole, body }) => {
    if (isWhole) expect(body).toBe(COMPLETE_STREAM);
  });
  const resumed = results.filter(
    ({ attemptId, isWhole }) =>
      isWhole && killed!.startedAttemptIds.includes(attemptId),
  );
  expect(resumed.length).toBeGreaterThan(0);
  resumed.forEach(({ attemptId }) =>
    expect(other!.startedAttemptIds).toContain(attemptId),
  );
}, 30_000);
