import { afterEach, describe, expect, test } from "@jest/globals";
import {
  createTestFleet,
  createTestModel,
  startTestStore,
  waitForVersion,
} from "./testing/weight_fleet.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

describe("weights", () => {
  // Guards against agents that each download the model from the store.
  test("brings a version to all agents with about one copy drawn", async () => {
    const model = createTestModel(32, 16 * 1024);
    const store = await startTestStore({ models: [model], bytesPerS: 8e6 });
    const fleet = createTestFleet({
      storeUrl: store.url,
      memoryBytes: model.sizeBytes,
      links: { hostMbitPerS: 32, storeMbitPerS: 64, regionMbitPerS: 64 },
      regions: { kolkata: "a", siliguri: "b" },
    });
    closers.push(fleet.close, store.close);
    const agents = [
      await fleet.addAgent("kolkata"),
      await fleet.addAgent("kolkata"),
      await fleet.addAgent("siliguri"),
      await fleet.addAgent("siliguri"),
    ];
    const { manifestDigest, sizeBytes } = model;
    agents.forEach(({ weights }) =>
      weights.want({ manifestDigest, sizeBytes }),
    );
    await Promise.all(
      agents.map((agent) => waitForVersion(agent, manifestDigest)),
    );
    agents.forEach(({ weights }) => {
      const bytes = Buffer.concat(weights.readChunks(manifestDigest) ?? []);
      expect(bytes.equals(Buffer.concat([...model.chunks.values()]))).toBe(
        true,
      );
    });
    expect(store.sentBytes() / sizeBytes).toBeLessThan(1.25);
  });
});
