/** Shared set-up for tests of weight distribution. */

import { expect } from "@jest/globals";
import { createTestModel, startTestStore } from "./test_store.ts";
import type { TestModel, TestStoreOptions } from "./test_store.ts";
import { createTestFleet, waitForVersion } from "./weight_fleet.ts";
import type { AgentOptions, TestAgent } from "./weight_fleet.ts";

export const MODEL = createTestModel(32, 16 * 1024);
export const OTHER_MODEL = createTestModel(32, 16 * 1024, 2);

const closers: (() => unknown)[] = [];

/** Closes all stores and fleets started by the tests of a file. */
export async function closeAll(): Promise<void> {
  await Promise.all(closers.splice(0).map((close) => close()));
}

export async function startFleet(
  dataCentres: readonly string[],
  options: {
    readonly store?: Partial<TestStoreOptions>;
    readonly memoryBytes?: number;
    readonly hostMbitPerS?: number;
    readonly first?: AgentOptions;
  } = {},
) {
  const store = await startTestStore({
    models: [MODEL, OTHER_MODEL],
    bytesPerS: 8e6,
    ...options.store,
  });
  const hostMbitPerS = options.hostMbitPerS ?? 32;
  const fleet = createTestFleet({
    storeUrl: store.url,
    memoryBytes: options.memoryBytes ?? 2 * MODEL.sizeBytes,
    links: { hostMbitPerS, storeMbitPerS: 64, regionMbitPerS: 64 },
    regions: { kolkata: "a", siliguri: "b" },
  });
  closers.push(fleet.close, store.close);
  for (const [index, dataCentre] of dataCentres.entries()) {
    await fleet.addAgent(dataCentre, index === 0 ? options.first : {});
  }
  return { store, fleet, agents: fleet.agents };
}

export function transferModel(
  agents: readonly TestAgent[],
  model: TestModel = MODEL,
) {
  const { manifestDigest, sizeBytes } = model;
  agents.forEach(({ weights }) =>
    weights.setWantedVersion({ manifestDigest, sizeBytes }),
  );
  return Promise.all(
    agents.map((agent) => waitForVersion(agent, manifestDigest)),
  );
}

export function expectExactBytes(agent: TestAgent, model: TestModel = MODEL) {
  const chunks = agent.weights.readChunks(model.manifestDigest) ?? [];
  const isEqual = Buffer.concat(chunks).equals(
    Buffer.concat([...model.chunks.values()]),
  );
  expect(isEqual).toBe(true);
}

export function readCounterTotal(agent: TestAgent, name: string): number {
  return agent.registry
    .counter(name, "")
    .samples()
    .reduce((sum, sample) => sum + sample.value, 0);
}

export async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await new Promise((resolve) => setImmediate(resolve));
}
