import { afterEach, expect, jest, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import { createAgeClock, startDirectoryReader } from "./mod.ts";
import type { MetadataStore, StoreChanges, StoreFailure } from "./mod.ts";
import {
  createConfig,
  createEndpoint,
  createTestDirectory,
  createEndpointChange,
  SILENT_LOGGER,
} from "./testing/mod.ts";

const closers: (() => void)[] = [];

afterEach(() => {
  closers.splice(0).forEach((close) => close());
  jest.useRealTimers();
});

/** A store whose watches the test completes. */
function createFakeStore() {
  let revision = 1;
  let configVersion = 1;
  let isDown = false;
  let isSilent = false;
  let weightsVersion: number | undefined;
  type Answer = (result: Result<StoreChanges, StoreFailure>) => void;
  let pendingWatches: Answer[] = [];
  let pendingOperatorWatches: Answer[] = [];
  const counts = { lists: 0, watches: 0, revisionReads: 0 };
  const revisionReadsAtMs: number[] = [];

  function read(): StoreChanges {
    const config = createConfig({ version: configVersion });
    return {
      revision,
      changes: [
        { type: "config", revision, config },
        { type: "weights", revision, model: "m", version: weightsVersion },
      ],
    };
  }

  const store: MetadataStore = {
    readAll() {
      counts.lists += 1;
      return Promise.resolve(isDown ? err("refused") : ok(read()));
    },
    watch({ scope, signal }) {
      counts.watches += 1;
      if (isDown) return Promise.resolve(err("refused"));
      return new Promise((resolve) => {
        if (scope === "operators") pendingOperatorWatches.push(resolve);
        else pendingWatches.push(resolve);
        signal.addEventListener("abort", () => resolve(err("aborted")));
      });
    },
    readPosition() {
      counts.revisionReads += 1;
      revisionReadsAtMs.push(performance.now());
      if (isSilent) return Promise.resolve(err("timeout"));
      return Promise.resolve(isDown ? err("refused") : ok({ revision }));
    },
    close: () => Promise.resolve(),
  };
  return {
    store,
    counts,
    revisionReadsAtMs,
    /** Changes the configuration without completing a watch. */
    publishSilently() {
      revision += 1;
      configVersion += 1;
    },
    publishWeights(version: number) {
      revision += 1;
      weightsVersion = version;
    },
    answerWatch(result?: Result<StoreChanges, StoreFailure>) {
      const waiting = pendingWatches;
      pendingWatches = [];
      waiting.forEach((resolve) => resolve(result ?? ok(read())));
    },
    answerOperatorWatch(result?: Result<StoreChanges, StoreFailure>) {
      const waiting = pendingOperatorWatches;
      pendingOperatorWatches = [];
      waiting.forEach((resolve) => resolve(result ?? ok(read())));
    },
    setDown(value: boolean) {
      isDown = value;
    },
    /** Reads of the revision time out; watches stay as they are. */
    setSilent(value: boolean) {
      isSilent = value;
    },
  };
}

function startReader(
  fake: ReturnType<typeof createFakeStore>,
  random = () => 0,
  isFed = () => false,
) {
  // A clock advanced by a timer runs slow while the process is busy.
  const { directory, clock } = createTestDirectory({
    clock: createAgeClock(),
    expiryWindowMs: () => reader.expiryWindowMs(),
    storeOutage: () => reader.storeOutage(),
  });
  const reader = startDirectoryReader({
    store: fake.store,
    directory,
    clock,
    registry: createRegistry(),
    logger: SILENT_LOGGER,
    random,
    isFed,
  });
  closers.push(() => reader.close());
  return { directory, clock, reader };
}

function wait(ms: number) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("a watch that stops delivering is detected within 1.5 s", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  await wait(50);
  expect(directory.config()!.version).toBe(1);
  fake.publishSilently();
  await wait(1_450);
  expect(directory.config()!.version).toBe(2);
  expect(fake.counts.lists).toBe(2);
});

test("an unchanged revision confirms the state without another listing", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  await wait(1_300);
  expect(directory.ageMs()).toBeLessThan(600);
  expect(fake.counts.lists).toBe(1);
});

test("a compacted history leads to a complete listing", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  await wait(50);
  fake.publishSilently();
  fake.answerWatch(err("compacted"));
  await wait(100);
  expect(directory.config()!.version).toBe(2);
  expect(fake.counts.lists).toBe(2);
});

test("during a store outage nothing is confirmed and removals count as uncertain", async () => {
  const fake = createFakeStore();
  const { directory, reader } = startReader(fake);
  await wait(50);
  expect(reader.expiryWindowMs()).toBe(0);
  fake.setDown(true);
  fake.answerWatch(err("connection"));
  await wait(1_500);
  expect(directory.ageMs()).toBeGreaterThan(1_300);
  await wait(1_600);
  expect(reader.expiryWindowMs()).toBeGreaterThan(1_500);
});

// Guards against requests to an endpoint that has left, 2 s and more after its
// removal: a single connection that went silent counted as an outage of the
// store, in which records expire, and delayed removals.
test("a call on a silent connection is no outage while other calls are answered", async () => {
  const fake = createFakeStore();
  const { reader } = startReader(fake);
  await wait(1_300);
  fake.answerWatch(err("timeout"));
  await wait(20);
  expect(reader.isInContact()).toBe(false);
  expect(reader.expiryWindowMs()).toBe(0);
});

/** A store with one endpoint, which is down for three seconds. */
async function passOutage() {
  jest.useFakeTimers();
  const fake = createFakeStore();
  const found = startReader(fake);
  await jest.advanceTimersByTimeAsync(50);
  const listed = [createEndpointChange(createEndpoint(), 2)];
  fake.answerWatch(ok({ revision: 2, changes: listed }));
  await jest.advanceTimersByTimeAsync(400);
  fake.setDown(true);
  fake.answerWatch(err("connection"));
  await jest.advanceTimersByTimeAsync(3_000);
  fake.setDown(false);
  return { ...found, fake };
}

function removeEndpoint(fake: ReturnType<typeof createFakeStore>) {
  const removed = { type: "endpoint" as const, revision: 3, id: "e1" };
  fake.answerWatch(
    ok({ revision: 3, changes: [{ ...removed, endpoint: undefined }] }),
  );
}

// Guards against endpoints that are dropped though they live: their records
// expired in an outage of the store and are back two seconds after its return.
test("a removal that is learned of as the store returns is delayed", async () => {
  const { directory, fake } = await passOutage();
  await jest.advanceTimersByTimeAsync(550);
  removeEndpoint(fake);
  await jest.advanceTimersByTimeAsync(1_200);
  expect(directory.endpointsOf("pool")).toHaveLength(1);
  await jest.advanceTimersByTimeAsync(400);
  expect(directory.endpointsOf("pool")).toHaveLength(0);
});

// Guards against requests to an endpoint that left well after an outage, 2 s and
// more after its removal: the delay was counted from when the removal was
// learned of, and added to the time until then.
test("a removal is not delayed beyond the time in which records return", async () => {
  const { directory, fake } = await passOutage();
  await jest.advanceTimersByTimeAsync(2_300);
  removeEndpoint(fake);
  await jest.advanceTimersByTimeAsync(500);
  expect(directory.endpointsOf("pool")).toHaveLength(0);
});

// Guards against calls that a silent store has to bear in addition to the usual
// ones: watches are sent again once it answers, not at each failed read.
test("watches are sent again once after reads without a response", async () => {
  jest.useFakeTimers();
  const fake = createFakeStore();
  startReader(fake);
  await jest.advanceTimersByTimeAsync(50);
  const { watches } = fake.counts;
  fake.setSilent(true);
  await jest.advanceTimersByTimeAsync(4_000);
  expect(fake.counts.watches).toBe(watches);
  fake.setSilent(false);
  await jest.advanceTimersByTimeAsync(3_000);
  expect(fake.counts.watches).toBe(watches + 2);
});

// Guards against a rate of store requests that grows with the number of
// endpoints: each change of an endpoint's record ends a watch, and without a
// minimum interval each of 14 entries sent 8 requests a second.
test("many changes a second cause few requests and confirm the state", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  let published = 1;
  const publish = setInterval(() => {
    published += 1;
    fake.publishSilently();
    fake.answerWatch();
  }, 20);
  await new Promise((resolve) => setTimeout(resolve, 2_000));
  clearInterval(publish);
  const { lists, watches, revisionReads } = fake.counts;
  expect(lists + watches + revisionReads).toBeLessThanOrEqual(2 * 4);
  expect(directory.ageMs()).toBeLessThan(1_000);
  // The changes of one interval between two watches, 300 ms, and a few more.
  expect(published - directory.config()!.version).toBeLessThan(20);
});

// Guards against an underestimated age: the store may truncate a long response,
// and the missing part can be the revocation of a key.
test("a watch response with many changes does not confirm the state", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  const wait = (ms: number) =>
    new Promise((resolve) => setTimeout(resolve, ms));
  await wait(400);
  fake.answerWatch();
  await wait(300);
  const changes = Array.from({ length: 50 }, (_, index) =>
    createEndpointChange(createEndpoint({ id: `e${index}` }), index + 2),
  );
  fake.answerWatch(ok({ revision: 51, changes }));
  await wait(20);
  expect(directory.endpoints()).toHaveLength(50);
  expect(directory.ageMs()).toBeGreaterThan(600);
});

// Guards against requests that start on an older version of weights after its
// bound: an entry took the arrival of the watch for the time of publication, but
// a slow link or a busy process delays a watch beyond any fixed time.
test("a version does not count as published later than it was when its watch is late", async () => {
  const fake = createFakeStore();
  const { directory, clock } = startReader(fake);
  await wait(50);
  const publishedAtMs = clock.nowMs();
  await wait(800);
  const changes = [
    { type: "weights" as const, revision: 2, model: "m", version: 2 },
  ];
  fake.answerWatch(ok({ revision: 2, changes }));
  await wait(20);
  const [wanted] = directory.wantedWeights("m");
  expect(wanted!.graceStartMs).toBeGreaterThanOrEqual(0);
  expect(wanted!.graceStartMs).toBeLessThanOrEqual(publishedAtMs);
});

// Guards against a bound that is too late after an outage: entries reach the
// store one after the other, and the operator can publish as soon as it is back.
test("a version published after a store outage does not count as published later than it was", async () => {
  jest.useFakeTimers();
  const fake = createFakeStore();
  const { directory, clock } = startReader(fake);
  await jest.advanceTimersByTimeAsync(50);
  fake.setDown(true);
  fake.answerWatch(err("connection"));
  await jest.advanceTimersByTimeAsync(4_000);
  const failedAtMs = clock.nowMs();
  fake.setDown(false);
  fake.publishWeights(2);
  const publishedAtMs = clock.nowMs();
  while (directory.wantedWeights("m").length === 0) {
    await jest.advanceTimersByTimeAsync(1);
    fake.answerWatch();
  }
  const { graceStartMs } = directory.wantedWeights("m")[0]!;
  expect(graceStartMs).toBeLessThanOrEqual(publishedAtMs);
  // Requests to the store are at most half a second apart while they fail.
  expect(graceStartMs).toBeGreaterThan(failedAtMs - 500);
});

// Guards against reads of all entries at the same time, because a change ends
// the watch of each of them: a version then counts as published up to a second
// too early at every entry.
test("entries whose watches end together read the store at different times", async () => {
  jest.useFakeTimers();
  const stores = [createFakeStore(), createFakeStore()];
  stores.forEach((fake, index) => startReader(fake, () => index * 0.999));
  await jest.advanceTimersByTimeAsync(50);
  stores.forEach((fake) => fake.answerWatch());
  await jest.advanceTimersByTimeAsync(3_050);
  const [first, second] = stores.map(({ revisionReadsAtMs }) =>
    revisionReadsAtMs.at(1),
  );
  expect(Math.abs(first! - second!)).toBeGreaterThan(300);
});

// Guards against a complete read after each of many watches that the store
// refuses as compacted, as long as it has not reached the held revision.
test("complete reads become rarer while watches are refused as compacted", async () => {
  const fake = createFakeStore();
  startReader(fake);
  const refuse = setInterval(() => fake.answerWatch(err("compacted")), 5);
  closers.push(() => clearInterval(refuse));
  await wait(1_000);
  const early = fake.counts.lists;
  await wait(3_000);
  // The delays are random, up to 50 ms at first and up to 4 s in the end.
  expect(fake.counts.lists - early).toBeLessThanOrEqual(12);
});

// Guards against weights that some entries learn of 0.3 s later than others:
// changes of endpoints' records make a watch over everything wait that long.
test("what operators publish is known at once while endpoints change", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  await wait(50);
  fake.publishSilently();
  const changes = [createEndpointChange(createEndpoint(), 2)];
  fake.answerWatch(ok({ revision: 2, changes }));
  await wait(10);
  const ageMs = directory.ageMs();
  fake.publishWeights(2);
  fake.answerOperatorWatch();
  await wait(10);
  expect(directory.wantedWeights("m")).toMatchObject([{ version: 2 }]);
  expect(directory.config()!.version).toBe(2);
  // Endpoints may have changed too, so the copy is not complete up to there.
  expect(directory.position().revision).toBe(2);
  expect(directory.ageMs()).toBeGreaterThan(ageMs);
});

// Guards against a bound that rests on the watch of what operators publish: it
// says nothing about the age of the rest, and can be late without limit.
test("a watch of what operators publish confirms nothing", async () => {
  const fake = createFakeStore();
  const { directory } = startReader(fake);
  await wait(50);
  const ageMs = directory.ageMs();
  await wait(400);
  fake.answerOperatorWatch(ok({ revision: 1, changes: [] }));
  await wait(20);
  expect(directory.ageMs()).toBeGreaterThan(ageMs + 400);
});

// Guards against calls to the store that grow with the number of entries, and
// against an entry that still waits when those that it relied on are gone.
test("an entry rests while others feed it, and reads at once when they end", async () => {
  const fake = createFakeStore();
  let isFed = false;
  const { directory, reader } = startReader(
    fake,
    () => 0,
    () => isFed,
  );
  await wait(50);
  isFed = true;
  fake.answerWatch();
  await wait(400);
  const rested = { ...fake.counts };
  await wait(1_500);
  expect(fake.counts).toEqual(rested);
  fake.publishSilently();
  isFed = false;
  reader.resume();
  await wait(5);
  fake.answerWatch();
  await wait(5);
  expect(directory.config()!.version).toBe(2);
  expect(directory.ageMs()).toBeLessThan(100);
});
