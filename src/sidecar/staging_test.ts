import { createHash } from "node:crypto";
import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createFleetState, createManifestSource, stageChunks } from "./mod.ts";
import type { EndpointApi, WeightOrigin } from "./mod.ts";

const CHUNKS = [Buffer.from("aaaa"), Buffer.from("bbbb")];

function hash(bytes: Uint8Array): string {
  return createHash("sha256").update(bytes).digest("hex");
}

const DIGESTS = CHUNKS.map((bytes) => `sha256:${hash(bytes)}`);

/** `isCorrupting` corrupts every written chunk. */
function createFakeEndpoint(options: { readonly isCorrupting?: boolean } = {}) {
  const staged = new Map<number, Uint8Array>();
  let writes = 0;
  const endpoint = {
    listStaged: () => Promise.resolve(ok([...staged.keys()])),
    readStaged: (_: string, index: number) =>
      Promise.resolve(ok(staged.get(index))),
    writeStaged(_: string, index: number, bytes: Uint8Array) {
      writes += 1;
      staged.set(index, options.isCorrupting ? Buffer.from("????") : bytes);
      return Promise.resolve(ok(undefined));
    },
  } as unknown as EndpointApi;
  return { endpoint, staged, countWrites: () => writes };
}

function stage(endpoint: EndpointApi) {
  return stageChunks(
    { endpoint, model: "m", chunkDigests: DIGESTS, chunkBytes: 4 },
    CHUNKS,
  );
}

test("only missing and corrupt chunks are written", async () => {
  const fake = createFakeEndpoint();
  fake.staged.set(0, CHUNKS[0]!);
  fake.staged.set(1, Buffer.from("corrupt"));
  expect(await stage(fake.endpoint)).toBe(true);
  expect(fake.countWrites()).toBe(1);
  expect(await stage(fake.endpoint)).toBe(true);
  expect(fake.countWrites()).toBe(1);
});

test("chunks that are corrupted at the endpoint are not reported ready", async () => {
  const fake = createFakeEndpoint({ isCorrupting: true });
  expect(await stage(fake.endpoint)).toBe(false);
});

// Guards against a load order while a chunk is missing or corrupt.
test("chunks are reported ready only if each staged chunk matches its digest", async () => {
  const faults = fc.array(fc.constantFrom("good", "bad", "missing"), {
    minLength: CHUNKS.length,
    maxLength: CHUNKS.length,
  });
  await fc.assert(
    fc.asyncProperty(faults, faults, async (before, written) => {
      const staged = new Map<number, Uint8Array>();
      const put = (index: number, fault: string | undefined) => {
        if (fault === "good") staged.set(index, CHUNKS[index]!);
        if (fault === "bad") staged.set(index, Buffer.from("????"));
        if (fault === "missing") staged.delete(index);
      };
      before.forEach((fault, index) => put(index, fault));
      const isReady = await stage({
        listStaged: () => Promise.resolve(ok([...staged.keys()])),
        readStaged: (_: string, index: number) =>
          Promise.resolve(ok(staged.get(index))),
        writeStaged(_: string, index: number) {
          put(index, written[index]);
          return Promise.resolve(ok(undefined));
        },
      } as unknown as EndpointApi);
      const isValid = CHUNKS.every((chunk, index) => {
        const found = staged.get(index);
        return found !== undefined && hash(found) === hash(chunk);
      });
      expect(isReady).toBe(isValid);
    }),
  );
});

function createFakeOrigin(answers: readonly (readonly string[] | undefined)[]) {
  const left = [...answers];
  return {
    readDigests() {
      const digests = left.shift();
      return Promise.resolve(
        digests === undefined ? err("malformed") : ok(digests),
      );
    },
  } as unknown as WeightOrigin;
}

test("a manifest is confirmed by two matching responses", async () => {
  const right = CHUNKS.map(hash);
  const wrong = [right[0]!, hash(Buffer.from("zzzz"))];
  const version = { name: "m", version: 2 };
  const manifests = createManifestSource({
    origin: createFakeOrigin([wrong, undefined, right, right]),
    isKnownToPeer: () => false,
    logger: SILENT_LOGGER,
  });
  expect(await manifests.requestFromOrigin(version, 4)).toBe(true);
  expect(await manifests.requestFromOrigin(version, 4)).toBe(false);
  expect(await manifests.requestFromOrigin(version, 4)).toBe(true);
  expect(manifests.find(version)).toBeUndefined();
  await manifests.requestFromOrigin(version, 4);
  expect(manifests.find(version)!.chunkDigests).toEqual(DIGESTS);
  expect(manifests.find(version)!.wanted.sizeBytes).toBe(8);
});

test("a manifest that a peer fetches is confirmed by one response", async () => {
  // A second request would queue behind all chunks that the origin sends.
  const right = CHUNKS.map(hash);
  const wrong = [right[0]!, hash(Buffer.from("zzzz"))];
  const version = { name: "m", version: 2 };
  let peersDigest = "";
  const first = createManifestSource({
    origin: createFakeOrigin([right, right]),
    isKnownToPeer: () => false,
    logger: SILENT_LOGGER,
  });
  await first.requestFromOrigin(version, 4);
  await first.requestFromOrigin(version, 4);
  const second = createManifestSource({
    origin: createFakeOrigin([wrong, right]),
    isKnownToPeer: (digest) => digest === peersDigest,
    logger: SILENT_LOGGER,
  });
  await second.requestFromOrigin(version, 4);
  peersDigest = first.find(version)!.wanted.manifestDigest;
  expect(second.find(version)).toBeUndefined();
  await second.requestFromOrigin(version, 4);
  expect(second.find(version)!.chunkDigests).toEqual(DIGESTS);
});

test("an older fleet notice does not replace a newer one", () => {
  const fleetState = createFleetState("pool", () => 10_000);
  const service = {
    name: "pool",
    models: ["m"],
    chunkCount: 2,
    chunkBytes: 4,
  };
  const notice = {
    topic: "fleet" as const,
    revision: 5,
    services: [service],
    wantedWeights: [{ model: "m", version: 2, publishedForMs: 300 }],
  };
  expect(fleetState.update(notice, "entry-1")).toBe(true);
  expect(
    fleetState.update({ ...notice, revision: 4, services: [] }, "entry-1"),
  ).toBe(false);
  expect(fleetState.ownService()).toEqual(service);
  fleetState.update(
    {
      ...notice,
      revision: 6,
      wantedWeights: [{ model: "m", version: 2, publishedForMs: 9_000 }],
    },
    "entry-2",
  );
  // The latest lower bound is the closest to the publication time.
  const publishedAtMs = () => fleetState.targets()[0]!.publishedAtMs;
  expect(publishedAtMs()).toBe(9_700);
  fleetState.update(
    {
      ...notice,
      revision: 7,
      wantedWeights: [{ model: "m", version: 2, publishedForMs: 100 }],
    },
    "entry-3",
  );
  expect(publishedAtMs()).toBe(9_900);
});

// Guards against endpoints that switch later than entries stop sending requests
// for the older version: an entry that had lost its own path to the store told
// them a start that was 6 s later than the others'.
test("a start of the grace period after an outage yields to one without", () => {
  const fleetState = createFleetState("pool", () => 10_000);
  const service = {
    name: "pool",
    models: ["m"],
    chunkCount: 2,
    chunkBytes: 4,
  };
  let reports = 0;
  function report(publishedForMs: number, isAfterOutage?: boolean) {
    const weights = { model: "m", version: 2, publishedForMs, isAfterOutage };
    reports += 1;
    fleetState.update(
      {
        topic: "fleet",
        revision: 5,
        services: [service],
        wantedWeights: [weights],
      },
      `entry-${reports}`,
    );
    return fleetState.targets()[0]!.publishedAtMs;
  }
  expect(report(200, true)).toBe(9_800);
  expect(report(6_600)).toBe(3_400);
  expect(report(100, true)).toBe(3_400);
  expect(report(6_200)).toBe(3_800);
});

// Guards against endpoints that switch later than entries stop sending requests
// for the older version: notices wait seconds on a link that is full of chunks.
test("a fleet notice that arrives late does not postpone the switch", () => {
  let now = 10_000;
  const fleetState = createFleetState("pool", () => now);
  const service = {
    name: "pool",
    models: ["m"],
    chunkCount: 2,
    chunkBytes: 4,
  };
  function receive(sender: string, publishedForMs: number) {
    const weights = { model: "m", version: 2, publishedForMs };
    fleetState.update(
      {
        topic: "fleet",
        revision: 5,
        services: [service],
        wantedWeights: [weights],
      },
      sender,
    );
    return fleetState.targets()[0]!.publishedAtMs;
  }
  expect(receive("entry-1", 300)).toBe(9_700);
  now = 14_000;
  // Sent 2 s after the first one, and 2 s under way.
  expect(receive("entry-1", 2_300)).toBe(9_700);
  expect(receive("entry-2", 4_100)).toBe(9_900);
});
