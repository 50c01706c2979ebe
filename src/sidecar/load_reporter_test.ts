import { afterEach, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { EndpointLoadNotice } from "../wire/mod.ts";
import type {
  EndpointApi,
  EndpointFailure,
  EndpointReport,
} from "./endpoint_api.ts";
import { startLoadReporter } from "./load_reporter.ts";
import { createReport } from "./testing/mod.ts";

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

const REPORT = createReport({
  running: 1,
  models: [{ name: "m", version: 1 }],
  memoryTotalTokens: 1_000,
  startedAtMs: 1_000,
});

type ReadResult = Result<EndpointReport, EndpointFailure>;

/**
 * Starts a reporter that reads these results in turn, and then the last one
 * again, and returns the phases that it tells an entry.
 */
async function reportPhases(results: readonly ReadResult[]) {
  let reads = 0;
  const readReport = () => {
    reads += 1;
    return Promise.resolve(results[Math.min(reads, results.length) - 1]!);
  };
  const phases = startReporter(readReport);
  while (reads <= results.length) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  return phases.filter((phase, index) => phase !== phases[index - 1]);
}

/** Returns the phases that the reporter tells an entry, also later ones. */
function startReporter(readReport: () => Promise<ReadResult>) {
  const phases: string[] = [];
  const peer = {
    sendNotice: ({ phase }: EndpointLoadNotice) => phases.push(phase),
  };
  const reporter = startLoadReporter({
    endpoint: { readReport } as unknown as EndpointApi,
    address: "127.0.0.1:1",
    mesh: {
      partners: () => [{ peer, isLocal: true }],
      onPeer: () => undefined,
    } as unknown as Mesh,
    readSharePerS: () => undefined,
    onReport: () => undefined,
    isLoadSound: () => true,
    logger: SILENT_LOGGER,
  });
  closers.push(reporter.close);
  return phases;
}

// Guards against an endpoint that is taken for gone because it is silent for
// less than a second, or because it refuses connections beyond its limit:
// entries then end all requests in progress there.
test.each(["timeout", "connection", "refused"] as const)(
  "an endpoint whose reports fail (%s) is not reported as down",
  async (failure) => {
    const failed = err(failure);
    expect(
      await reportPhases([ok(REPORT), failed, failed, failed, ok(REPORT)]),
    ).toEqual(["warm", "unknown", "warm"]);
  },
);

// Guards against requests to an endpoint that is leaving while the published
// list does not say so yet. Its state of loading matters no longer.
test.each([
  { what: "with weights", models: REPORT.models },
  { what: "without weights", models: [] },
])(
  "an endpoint $what whose report says that it is leaving is reported so",
  async ({ models }) => {
    const leaving = ok({ ...REPORT, models, isLeaving: true });
    expect(await reportPhases([ok(REPORT), leaving, leaving])).toEqual([
      "warm",
      "leaving",
    ]);
  },
);

// Guards against requests that wait until their deadline for a process that
// has been replaced without its connections being closed.
test("an endpoint that has started again is reported as down once", async () => {
  const silent = err("timeout" as const);
  const restarted = ok({ ...REPORT, models: [], startedAtMs: 2_000 });
  expect(
    await reportPhases([ok(REPORT), silent, silent, restarted, restarted]),
  ).toEqual(["warm", "unknown", "down", "empty"]);
});

// Guards against a process that ends because one read failed with an exception.
test("reports are read on after an exception", async () => {
  let reads = 0;
  const phases = startReporter(() => {
    reads += 1;
    if (reads === 1) throw new Error("failed");
    return Promise.resolve(ok(REPORT));
  });
  await new Promise((resolve) => setTimeout(resolve, 600));
  expect(phases).toContain("warm");
});
