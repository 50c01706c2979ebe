import { afterEach, describe, expect, test } from "@jest/globals";
import {
  closeAll,
  expectExactBytes,
  MODEL,
  OTHER_MODEL,
  startFleet,
  waitUntil,
  transferModel,
} from "./testing/weight_setup.ts";

afterEach(closeAll);

describe("weights", () => {
  // Guards against agents that each download the model from the store.
  test("brings a version to all agents with about one copy drawn", async () => {
    const { store, agents } = await startFleet([
      "kolkata",
      "kolkata",
      "siliguri",
      "siliguri",
    ]);
    await transferModel(agents);
    agents.forEach((agent) => expectExactBytes(agent));
    expect(store.sentBytes() / MODEL.sizeBytes).toBeLessThan(1.25);
  });

  // Guards against two tasks that choose the same chunk before one of them has
  // marked it as requested.
  test("asks the store for each chunk once", async () => {
    const { store, agents } = await startFleet(["kolkata"]);
    await transferModel(agents);
    expect(store.requests.size).toBe(MODEL.chunks.size + 1);
    expect(Math.max(...store.requests.values())).toBe(1);
  });

  // Guards against a joining agent that goes to the store although its peers
  // have everything.
  test("serves a late joiner from its peers", async () => {
    const { store, fleet, agents } = await startFleet(["kolkata", "kolkata"]);
    await transferModel(agents);
    const downloadedBytes = store.sentBytes();
    const late = await fleet.addAgent("kolkata");
    await transferModel([late]);
    expectExactBytes(late);
    expect(store.sentBytes()).toBe(downloadedBytes);
  });

  // Guards against the mixing of two versions and against a transfer that
  // keeps the link busy after its version was replaced.
  test("turns to the new version when it changes during a transfer", async () => {
    const { agents } = await startFleet(["kolkata", "kolkata"]);
    void transferModel(agents);
    const [first] = agents;
    const { manifestDigest } = MODEL;
    await waitUntil(
      () => first!.weights.progress(manifestDigest).chunksHeld > 2,
    );
    await transferModel(agents, OTHER_MODEL);
    agents.forEach((agent) => {
      expectExactBytes(agent, OTHER_MODEL);
      expect(agent.weights.readChunks(manifestDigest)).toBeUndefined();
    });
  });

  // Guards against downloads that go on after a version was withdrawn.
  test("asks the store for nothing more once a version is withdrawn", async () => {
    const { store, agents } = await startFleet(["kolkata"], {
      hostMbitPerS: 8,
    });
    void transferModel(agents);
    const { weights } = agents[0]!;
    const { manifestDigest } = MODEL;
    await waitUntil(() => weights.progress(manifestDigest).chunksHeld > 2);
    weights.want(undefined);
    const requests = store.requests.size;
    const { chunksHeld } = weights.progress(manifestDigest);
    await transferModel(agents, OTHER_MODEL);
    const asked = [...MODEL.chunks.keys()].filter((digest) =>
      store.requests.has(digest),
    );
    expect(asked.length + 1).toBe(requests);
    expect(weights.progress(manifestDigest).chunksHeld).toBe(chunksHeld);
  });

  // Guards against an agent that fails or evicts for a version it cannot hold.
  test("refuses a version larger than its memory and says so", async () => {
    const { agents, store } = await startFleet(["kolkata"], {
      memoryBytes: MODEL.sizeBytes - 1,
    });
    const { weights, registry } = agents[0]!;
    const { manifestDigest, sizeBytes } = MODEL;
    weights.want({ manifestDigest, sizeBytes });
    const refused = registry.counter("weights_refused_versions_total", "");
    expect(refused.read({ reason: "memory" })).toBe(1);
    expect(weights.progress(manifestDigest).isComplete).toBe(false);
    expect(store.requests.size).toBe(0);
  });

  // Guards against memory that grows with each version.
  test("evicts an old version when a new one needs the room", async () => {
    const { agents } = await startFleet(["kolkata"], {
      memoryBytes: MODEL.sizeBytes,
    });
    await transferModel(agents);
    await transferModel(agents, OTHER_MODEL);
    const { weights } = agents[0]!;
    expectExactBytes(agents[0]!, OTHER_MODEL);
    expect(weights.progress(MODEL.manifestDigest).chunksHeld).toBe(0);
  });
});
