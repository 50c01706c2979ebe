import { afterEach, expect, test } from "@jest/globals";
import { err } from "neverthrow";
import { waitUntil } from "../../test/wait_until.ts";
import { createFakeEndpoint } from "./testing/fake_endpoint.ts";
import type {
  FakeEndpoint,
  FakeEndpointOptions,
} from "./testing/fake_endpoint.ts";
import { startTestAgent } from "./testing/agent.ts";
import type { TestAgentOptions } from "./testing/agent.ts";

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

/** Checks of the staged chunks, each of which a pause may follow. */
const CHECKS = [1, 2, 3, 4];
const PAUSE_MS = 4_000;

// Guards against a load of chunks that turned corrupt during a pause of this
// process between their check and the order.
test.each(CHECKS)(
  "chunks that turn corrupt in a pause after check %d are not loaded",
  async (pausedCheck) => {
    let checks = 0;
    let skippedMs = 0;
    const fake = createFakeEndpoint({
      version: 1,
      onChecked() {
        checks += 1;
        if (checks !== pausedCheck) return;
        skippedMs += PAUSE_MS;
        fake.corruptChunk(0);
      },
    });
    const agent = startTestAgent(fake, {
      versions: () => [2],
      skippedMs: () => skippedMs,
    });
    closers.push(agent.close);
    await waitUntil("version 2 is served", () => fake.served()?.version === 2);
    expect(fake.loads).toEqual([{ version: 2, isSound: true }]);
  },
);

/**
 * Starts an agent in front of an endpoint that serves version 1, and notes each
 * time at which entries are told that they may send requests although the
 * endpoint serves weights that were not sound when they were loaded.
 */
function startScenario(
  onOrder: NonNullable<FakeEndpointOptions["onOrder"]>,
  versions: TestAgentOptions["versions"] = () => [1, 2],
) {
  const unsoundlyServed: (number | undefined)[] = [];
  const fake = createFakeEndpoint({ version: 1, onOrder });
  function start() {
    const agent = startTestAgent(fake, {
      versions,
      onPhase(phase) {
        const served = fake.served();
        if (phase === "warm" && served?.isSound === false) {
          unsoundlyServed.push(served.version);
        }
      },
    });
    closers.push(agent.close);
    return agent;
  }
  return { fake, start, unsoundlyServed };
}

const isServedSoundly = (fake: FakeEndpoint, version: number) => () => {
  const served = fake.served();
  return served?.version === version && served.isSound;
};

/** Time in which an agent finds a load that it did not expect. */
const SETTLE_MS = 600;
const settle = () => new Promise((resolve) => setTimeout(resolve, SETTLE_MS));

// Guards against answers from chunks that turned corrupt, or were lost, after
// the order had been sent and before the endpoint accepted it.
test.each(["corruptChunk", "loseChunk"] as const)(
  "weights that are loaded after %s are replaced before they are used",
  async (fault) => {
    let orders = 0;
    const { fake, start, unsoundlyServed } = startScenario((accept) => {
      orders += 1;
      if (orders === 1) fake[fault](0);
      return Promise.resolve(accept());
    });
    start();
    await waitUntil("version 2 is sound", isServedSoundly(fake, 2));
    await settle();
    expect(fake.loads).toEqual([
      { version: 2, isSound: false },
      { version: 1, isSound: true },
      { version: 2, isSound: true },
    ]);
    expect(unsoundlyServed).toEqual([]);
  },
);

// Guards against a load that this process does not know of: the response to
// its order was lost, and chunks turned corrupt before it was accepted.
test("weights of an order without response are replaced if a chunk is corrupt", async () => {
  let orders = 0;
  const { fake, start, unsoundlyServed } = startScenario((accept) => {
    orders += 1;
    if (orders > 1) return Promise.resolve(accept());
    fake.corruptChunk(0);
    accept();
    return Promise.resolve(err("timeout"));
  });
  start();
  await waitUntil("version 2 is sound", isServedSoundly(fake, 2));
  await settle();
  expect(fake.loads[0]).toEqual({ version: 2, isSound: false });
  expect(unsoundlyServed).toEqual([]);
});

// Guards against an order that is accepted while the chunks of a newer version
// are staged, and loads chunks of both.
test("an order that arrives after another one has been accepted loads nothing", async () => {
  let versions = [1, 2];
  let orders = 0;
  const { fake, start, unsoundlyServed } = startScenario(
    (accept) => {
      orders += 1;
      if (orders > 1) return Promise.resolve(accept());
      versions = [1, 2, 3];
      setTimeout(accept, SETTLE_MS);
      return Promise.resolve(err("timeout"));
    },
    () => versions,
  );
  start();
  await waitUntil("version 3 is sound", isServedSoundly(fake, 3));
  await settle();
  await settle();
  expect(fake.served()).toEqual({ version: 3, isSound: true });
  expect(fake.loads).toEqual([{ version: 3, isSound: true }]);
  expect(unsoundlyServed).toEqual([]);
});

// Guards against the order of a process that was killed: it is accepted while
// the next process stages a newer version.
test("weights of an order of an earlier process are replaced unless they are sound", async () => {
  let versions = [1, 2];
  let acceptFirst: () => void = () => undefined;
  let orders = 0;
  const { fake, start, unsoundlyServed } = startScenario(
    (accept) => {
      orders += 1;
      if (orders > 1) return Promise.resolve(accept());
      acceptFirst = accept;
      return new Promise(() => undefined);
    },
    () => versions,
  );
  const killed = start();
  await waitUntil("the order has been sent", () => orders === 1);
  killed.close();
  const { writeStaged } = fake.endpoint;
  fake.endpoint.writeStaged = async (...args) => {
    const result = await writeStaged(...args);
    if (args[1] === 0 && args[2].toString() === "3.0") acceptFirst();
    return result;
  };
  versions = [1, 2, 3];
  start();
  await waitUntil("version 3 is sound", isServedSoundly(fake, 3));
  await settle();
  expect(fake.loads[0]).toEqual({ version: 2, isSound: false });
  expect(fake.served()).toEqual({ version: 3, isSound: true });
  expect(unsoundlyServed).toEqual([]);
});
