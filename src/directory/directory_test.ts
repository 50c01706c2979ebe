import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { createStoreOutage } from "./mod.ts";
import type { DirectoryChange, OutageSpan } from "./mod.ts";
import {
  createConfig,
  createEndpoint,
  createTestDirectory,
  createEndpointChange,
} from "./testing/mod.ts";

function publish(version: number, revision: number): DirectoryChange {
  return { type: "config", revision, config: createConfig({ version }) };
}

test("no order of deliveries reverts the configuration", () => {
  const deliveries = fc.array(
    fc.record({
      version: fc.integer({ min: 1, max: 9 }),
      revision: fc.integer({ min: 1, max: 9 }),
    }),
    { minLength: 1, maxLength: 30 },
  );
  fc.assert(
    fc.property(deliveries, (items) => {
      const { directory } = createTestDirectory();
      let highest = 0;
      items.forEach(({ version, revision }) => {
        directory.apply([publish(version, revision)], { revision });
        const held = directory.config()!.version;
        expect(held).toBeGreaterThanOrEqual(highest);
        highest = held;
      });
    }),
  );
});

test("a late event does not restore a removed endpoint", () => {
  const { directory } = createTestDirectory();
  directory.apply([createEndpointChange(createEndpoint(), 5)], { revision: 5 });
  directory.apply(
    [{ type: "endpoint", revision: 7, id: "e1", endpoint: undefined }],
    { revision: 7 },
  );
  directory.apply([createEndpointChange(createEndpoint(), 5)], { revision: 7 });
  expect(directory.endpointsOf("pool")).toHaveLength(0);
});

test("a complete listing removes missing items, but no newer ones", () => {
  const { directory } = createTestDirectory();
  directory.apply(
    [
      createEndpointChange(createEndpoint({ id: "old" }), 3),
      createEndpointChange(createEndpoint({ id: "new" }), 9),
      { type: "evacuation", revision: 4, dataCentre: "kol-a", isOut: true },
    ],
    { revision: 9 },
  );
  directory.replace([], { revision: 6 });
  expect(directory.endpointsOf("pool").map(({ id }) => id)).toEqual(["new"]);
  expect(directory.isEvacuated("kol-a")).toBe(false);
});

test("an endpoint that may have expired in a store outage stays for 1.5 s", async () => {
  const { directory } = createTestDirectory({ expiryWindowMs: () => 2_500 });
  directory.apply([createEndpointChange(createEndpoint(), 1)], { revision: 1 });
  directory.apply(
    [{ type: "endpoint", revision: 2, id: "e1", endpoint: undefined }],
    { revision: 2 },
  );
  expect(directory.endpointsOf("pool")).toHaveLength(1);
  await new Promise((resolve) => setTimeout(resolve, 1_900));
  expect(directory.endpointsOf("pool")).toHaveLength(0);
});

test("the age counts from the latest confirmed time", () => {
  const { directory, clock, time } = createTestDirectory();
  expect(directory.ageMs()).toBe(Infinity);
  directory.confirm(clock.nowMs());
  time.monotonic += 700;
  expect(directory.ageMs()).toBe(700);
  directory.confirm(clock.nowMs() - 900);
  expect(directory.ageMs()).toBe(700);
});

test("a wanted version counts as published since the last confirmation", () => {
  const { directory, clock, time } = createTestDirectory();
  directory.confirm(clock.nowMs());
  const confirmedAtMs = clock.nowMs();
  time.monotonic += 800;
  directory.apply([{ type: "weights", revision: 2, model: "m", version: 2 }], {
    revision: 2,
  });
  expect(directory.wantedWeights("m")).toEqual([
    {
      model: "m",
      version: 2,
      notBeforeMs: confirmedAtMs,
      graceStartMs: confirmedAtMs,
    },
  ]);
});

/** Learns of version 2 at 6 s, the store having last been read at 0 s. */
function learnAfterOutage(outage: OutageSpan | undefined) {
  const found = createTestDirectory({ storeOutage: () => outage });
  found.directory.confirm(found.clock.nowMs());
  found.time.monotonic += 6_000;
  found.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  return {
    ...found,
    readWanted: () => found.directory.wantedWeights("m")[0]!,
  };
}

const OUTAGE: OutageSpan = {
  durationMs: 5_500,
  firstFailedAtMs: 300,
  lastSentAtMs: 5_700,
};

// Guards against endpoints without work after a long outage, and against a
// bound that is too late because the version was published before this process
// learned of it.
test("the timeout for an older version starts with the last request that failed in a store outage", () => {
  expect(learnAfterOutage(OUTAGE).readWanted()).toMatchObject({
    notBeforeMs: 0,
    graceStartMs: 5_700,
  });
});

test("a pause of this process alone does not postpone the deadline", () => {
  expect(learnAfterOutage(undefined).readWanted()).toMatchObject({
    graceStartMs: 0,
  });
});

// Guards against an entry that lost only its own path to the store and counted
// from its return, 6.6 s after the version was published.
test("the deadline is not postponed by an outage in which the store served others", () => {
  const late = learnAfterOutage(OUTAGE);
  const hint = { model: "m", version: 2, notBeforeMs: 250 };
  late.directory.raiseNotBefore(hint);
  expect(late.readWanted().graceStartMs).toBe(250);
  const served = learnAfterOutage(OUTAGE);
  served.directory.raiseNotBefore({
    ...hint,
    notBeforeMs: 3_000,
    isAfterOutage: true,
  });
  expect(served.readWanted().graceStartMs).toBe(3_000);
});

// Guards against all endpoints with the older version being refused after an
// outage of 8 s, because the last read of another entry seemed to lie a moment
// after the first failure: the clocks of two processes advance differently.
test("a read at the beginning of an outage does not show that the store served others", () => {
  const { directory, readWanted } = learnAfterOutage(OUTAGE);
  const hint = { model: "m", version: 2, isAfterOutage: true };
  directory.raiseNotBefore({ ...hint, notBeforeMs: 700 });
  expect(readWanted().graceStartMs).toBe(5_700);
});

test("the deadline stays postponed when the others learned of the version after the outage too", () => {
  const { directory, readWanted } = learnAfterOutage(OUTAGE);
  const hint = { model: "m", version: 2, isAfterOutage: true };
  directory.raiseNotBefore({ ...hint, notBeforeMs: 200 });
  expect(readWanted().graceStartMs).toBe(5_700);
});

test("a version published after the outage counts from its latest proved bound", () => {
  const { directory, readWanted } = learnAfterOutage(OUTAGE);
  const hint = { model: "m", version: 2, isAfterOutage: true };
  directory.raiseNotBefore({ ...hint, notBeforeMs: 5_900 });
  expect(readWanted().graceStartMs).toBe(5_900);
});

test("a process that has just started adopts the deadline of another one", () => {
  const { directory, time } = createTestDirectory();
  time.monotonic += 9_000;
  const hint = { model: "m", version: 2, notBeforeMs: 8_000 };
  directory.raiseNotBefore({ ...hint, notBeforeMs: 7_000 });
  directory.apply([{ type: "weights", revision: 2, model: "m", version: 2 }], {
    revision: 2,
  });
  expect(directory.wantedWeights("m")[0]!.graceStartMs).toBe(7_000);
  directory.raiseNotBefore(hint);
  directory.raiseNotBefore({ ...hint, notBeforeMs: 1_000 });
  expect(directory.wantedWeights("m")[0]!.graceStartMs).toBe(8_000);
});

// Guards against a process that has read only the newer of two versions: it
// adopted the date of the newer one, and with it let requests start on the
// served version after the bound that the older one of the two sets.
test.each([
  { when: "before", isHintFirst: true },
  { when: "after", isHintFirst: false },
])(
  "a version that this process has missed counts if a peer reports it $when the newer one",
  ({ isHintFirst }) => {
    const { directory, time } = createTestDirectory();
    time.monotonic += 9_000;
    const learn = () =>
      directory.apply(
        [{ type: "weights", revision: 9, model: "m", version: 3 }],
        { revision: 9 },
      );
    if (!isHintFirst) learn();
    directory.raiseNotBefore({ model: "m", version: 3, notBeforeMs: 8_000 });
    directory.raiseNotBefore({ model: "m", version: 2, notBeforeMs: 5_000 });
    directory.raiseNotBefore({ model: "m", version: 4, notBeforeMs: 8_500 });
    if (isHintFirst) learn();
    expect(
      directory
        .wantedWeights("m")
        .map(({ version, graceStartMs }) => [version, graceStartMs]),
    ).toEqual([
      [3, 8_000],
      [2, 5_000],
    ]);
  },
);

test("an outage lasts from the first to the last failure and is reset by a pause", () => {
  let now = 0;
  const outage = createStoreOutage(() => now);
  const fail = (atMs: number) => {
    now = atMs;
    outage.recordFailure(atMs - 50);
  };
  outage.recordSuccess();
  fail(100);
  fail(4_100);
  expect(outage.durationMs()).toBe(4_000);
  expect(outage.span()).toEqual({
    durationMs: 4_000,
    firstFailedAtMs: 100,
    lastSentAtMs: 4_050,
  });
  now = 5_000;
  outage.recordSuccess();
  expect(outage.durationMs()).toBe(4_000);
  now = 7_100;
  expect(outage.durationMs()).toBe(0);
  fail(8_000);
  expect(outage.durationMs()).toBe(0);
  fail(12_000);
  outage.reset();
  expect(outage.durationMs()).toBe(0);
});

test("the duration of an outage is unknown to a process without any response yet", () => {
  let now = 0;
  const outage = createStoreOutage(() => now);
  now = 300;
  outage.recordFailure(now);
  expect(outage.durationMs()).toBe(0);
  now = 900;
  outage.recordFailure(now);
  outage.recordSuccess();
  expect(outage.durationMs()).toBe(Infinity);
  now = 3_200;
  outage.recordFailure(now);
  now = 4_400;
  outage.recordFailure(now);
  expect(outage.durationMs()).toBe(1_200);
});

test("a restarted endpoint under the same id counts as newly seen", () => {
  const { directory, time } = createTestDirectory();
  directory.apply(
    [createEndpointChange(createEndpoint({ startedAtMs: 1 }), 1)],
    { revision: 1 },
  );
  time.monotonic += 500;
  directory.apply(
    [createEndpointChange(createEndpoint({ startedAtMs: 2 }), 2)],
    { revision: 2 },
  );
  expect(directory.endpoints()[0]!.firstSeenAtMs).toBe(500);
});

// Guards against an endpoint that stays listed for good: a process that has read
// the complete state does not know of endpoints that were listed and removed
// since its former position, and a peer that knows them missed their removal.
test("an update is complete for a process that was behind at the last complete read", () => {
  const { directory } = createTestDirectory();
  const first = createEndpointChange(createEndpoint(), 1);
  directory.replace([first], { revision: 1 });
  directory.replace([first], { revision: 4 });
  expect(directory.createUpdateSince({ revision: 2 }).isWhole).toBe(true);
  expect(directory.createUpdateSince({ revision: 4 }).isWhole).toBe(false);
});
