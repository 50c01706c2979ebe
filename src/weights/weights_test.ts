import { afterEach, describe, expect, test } from "@jest/globals";
import { connect } from "node:net";
import type { Peer, Stream } from "../wire/mod.ts";
import {
  createTestFleet,
  createTestModel,
  digestOf,
  startTestStore,
  waitForVersion,
} from "./testing/weight_fleet.ts";
import type {
  AgentOptions,
  TestAgent,
  TestModel,
  TestStoreOptions,
} from "./testing/weight_fleet.ts";

const MODEL = createTestModel(32, 16 * 1024);
const OTHER_MODEL = createTestModel(32, 16 * 1024, 2);

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

async function start(
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

function wantModel(agents: readonly TestAgent[], model: TestModel = MODEL) {
  const { manifestDigest, sizeBytes } = model;
  agents.forEach(({ weights }) => weights.want({ manifestDigest, sizeBytes }));
  return Promise.all(
    agents.map((agent) => waitForVersion(agent, manifestDigest)),
  );
}

function expectExactBytes(agent: TestAgent, model: TestModel = MODEL) {
  const chunks = agent.weights.readChunks(model.manifestDigest) ?? [];
  const isEqual = Buffer.concat(chunks).equals(
    Buffer.concat([...model.chunks.values()]),
  );
  expect(isEqual).toBe(true);
}

function readTotal(agent: TestAgent, name: string): number {
  return agent.registry
    .counter(name, "")
    .samples()
    .reduce((sum, sample) => sum + sample.value, 0);
}

async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await new Promise((resolve) => setImmediate(resolve));
}

/** Chunk bytes as the store has them, or the manifest. */
function findBytes(stream: Stream): Buffer {
  const index = stream.head.kind === "chunk" ? stream.head.index : 0;
  return index < 0 ? MODEL.manifest : [...MODEL.chunks.values()][index]!;
}

describe("weights", () => {
  // Guards against agents that each download the model from the store.
  test("brings a version to all agents with about one copy drawn", async () => {
    const { store, agents } = await start([
      "kolkata",
      "kolkata",
      "siliguri",
      "siliguri",
    ]);
    await wantModel(agents);
    agents.forEach((agent) => expectExactBytes(agent));
    expect(store.sentBytes() / MODEL.sizeBytes).toBeLessThan(1.25);
  });

  // Guards against a joining agent that goes to the store although its peers
  // have everything.
  test("serves a late joiner from its peers", async () => {
    const { store, fleet, agents } = await start(["kolkata", "kolkata"]);
    await wantModel(agents);
    const drawn = store.sentBytes();
    const late = await fleet.addAgent("kolkata");
    await wantModel([late]);
    expectExactBytes(late);
    expect(store.sentBytes()).toBe(drawn);
  });

  // Guards against the mixing of two versions and against a transfer that
  // keeps the link busy after its version was replaced.
  test("turns to the new version when it changes during a transfer", async () => {
    const { agents } = await start(["kolkata", "kolkata"]);
    void wantModel(agents);
    const [first] = agents;
    const { manifestDigest } = MODEL;
    await waitUntil(
      () => first!.weights.progress(manifestDigest).chunksHeld > 2,
    );
    await wantModel(agents, OTHER_MODEL);
    agents.forEach((agent) => {
      expectExactBytes(agent, OTHER_MODEL);
      expect(agent.weights.readChunks(manifestDigest)).toBeUndefined();
    });
  });

  // Guards against downloads that go on after a version was withdrawn.
  test("asks the store for nothing more once a version is withdrawn", async () => {
    const { store, agents } = await start(["kolkata"], { hostMbitPerS: 8 });
    void wantModel(agents);
    const { weights } = agents[0]!;
    const { manifestDigest } = MODEL;
    await waitUntil(() => weights.progress(manifestDigest).chunksHeld > 2);
    weights.want(undefined);
    const requests = store.requests.size;
    const { chunksHeld } = weights.progress(manifestDigest);
    await wantModel(agents, OTHER_MODEL);
    const asked = [...MODEL.chunks.keys()].filter((digest) =>
      store.requests.has(digest),
    );
    expect(asked.length + 1).toBe(requests);
    expect(weights.progress(manifestDigest).chunksHeld).toBe(chunksHeld);
  });

  // Guards against an agent that fails or evicts for a version it cannot hold.
  test("refuses a version larger than its memory and says so", async () => {
    const { agents, store } = await start(["kolkata"], {
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
    const { agents } = await start(["kolkata"], {
      memoryBytes: MODEL.sizeBytes,
    });
    await wantModel(agents);
    await wantModel(agents, OTHER_MODEL);
    const { weights } = agents[0]!;
    expectExactBytes(agents[0]!, OTHER_MODEL);
    expect(weights.progress(MODEL.manifestDigest).chunksHeld).toBe(0);
  });
});

describe("faulty senders", () => {
  const faults: readonly {
    readonly name: string;
    readonly onChunkStream: (peer: Peer, stream: Stream) => void;
    readonly counter: string;
  }[] = [
    {
      // Guards against corrupt chunks that are kept or passed on.
      name: "one flipped bit in each chunk",
      async onChunkStream(_, stream) {
        const bytes = Buffer.from(findBytes(stream));
        bytes[100] = bytes[100]! ^ 1;
        await stream.write(bytes);
        stream.end({ outcome: "answered" });
      },
      counter: "weights_corrupt_total",
    },
    {
      // Guards against more bytes than the manifest gives for a chunk.
      name: "chunks without end",
      async onChunkStream(_, stream) {
        const piece = Buffer.alloc(64 * 1024);
        while ((await stream.write(piece)).isOk());
      },
      counter: "weights_corrupt_total",
    },
    {
      // Guards against a stalled sender that holds up the last chunk.
      name: "a stall without a closed connection",
      async onChunkStream(_, stream) {
        await stream.write(findBytes(stream).subarray(0, 100));
      },
      counter: "weights_failed_requests_total",
    },
    {
      // Guards against half a chunk being taken for a whole one.
      name: "death in the middle of a chunk",
      async onChunkStream(peer, stream) {
        await stream.write(findBytes(stream).subarray(0, 1000));
        setImmediate(() => peer.close("killed"));
      },
      counter: "weights_failed_requests_total",
    },
  ];

  test.each(faults)("survives $name", async ({ onChunkStream, counter }) => {
    const { agents } = await start(["kolkata", "kolkata", "siliguri"], {
      first: { onChunkStream },
    });
    const [faulty, ...sound] = agents;
    // The faulty agent holds everything before the others start.
    await wantModel([faulty!]);
    await wantModel(sound);
    sound.forEach((agent) => expectExactBytes(agent));
    const seen = sound.map((agent) => readTotal(agent, counter));
    expect(Math.max(...seen)).toBeGreaterThan(0);
    if (counter !== "weights_corrupt_total") return;
    // One request at a time goes to a peer, so avoidance shows as one fault.
    seen.forEach((count) => expect(count).toBeLessThanOrEqual(1));
  });

  // Guards against a process that stops because of one faulty sender.
  test("survives garbage frames and malformed notices", async () => {
    const { agents } = await start(["kolkata", "kolkata"]);
    const [first, second] = agents;
    const [ip, port] = first!.node.peerAddress.split(":");
    const socket = connect({ host: ip!, port: Number(port) });
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(Buffer.from("0000000affffffffffffffffffff", "hex"));
    await closed;
    await waitUntil(() => second!.node.peers().length > 0);
    second!.node.peers().forEach((peer) =>
      peer.sendNotice({
        topic: "have",
        manifestDigest: MODEL.manifestDigest,
        chunkCount: 32,
        bitmap: new Uint8Array(1000),
        phase: "cold",
      }),
    );
    await waitUntil(
      () => readTotal(first!, "weights_malformed_notices_total") === 1,
    );
    await wantModel(agents);
    agents.forEach((agent) => expectExactBytes(agent));
  });
});

describe("store faults", () => {
  // Guards against a transfer that gives up, or hammers a store that is down.
  test("goes on when the store is down half-way", async () => {
    let isDown = false;
    let refused = 0;
    const { store, agents } = await start(["kolkata", "kolkata"], {
      store: {
        intercept(_, response) {
          if (!isDown) return false;
          refused += 1;
          response.writeHead(503).end();
          return true;
        },
      },
    });
    const done = wantModel(agents);
    await waitUntil(() => store.sentBytes() > MODEL.sizeBytes / 2);
    isDown = true;
    await waitUntil(() => refused > 3);
    isDown = false;
    await done;
    agents.forEach((agent) => expectExactBytes(agent));
  });

  // Guards against a store that serves damaged chunks.
  test("rejects a corrupt chunk of the store and asks again", async () => {
    const [digest, bytes] = [...MODEL.chunks][5]!;
    let isFirst = true;
    const { agents } = await start(["kolkata"], {
      store: {
        intercept(request, response) {
          if (!isFirst || !decodeURIComponent(request.url!).endsWith(digest))
            return false;
          isFirst = false;
          const damaged = Buffer.from(bytes);
          damaged[0] = damaged[0]! ^ 1;
          response.writeHead(200).end(damaged);
          return true;
        },
      },
    });
    await wantModel(agents);
    expectExactBytes(agents[0]!);
    expect(readTotal(agents[0]!, "weights_corrupt_total")).toBe(1);
  });

  const chunk = { digest: digestOf(Buffer.from("x")), size_bytes: 1 };
  const huge = { ...chunk, size_bytes: 2 ** 40 };
  const refusals = [
    // Each guards against a manifest that would exhaust memory or never end.
    { reason: "wrong_size", chunks: [chunk], sizeBytes: 2 },
    { reason: "chunk_too_large", chunks: [huge], sizeBytes: 1 },
    { reason: "malformed", chunks: [], sizeBytes: 1 },
  ];
  test.each(refusals)(
    "refuses a manifest: $reason",
    async ({ reason, chunks, sizeBytes }) => {
      const manifest = Buffer.from(
        JSON.stringify({ model: "m", version: "1", size_bytes: 1, chunks }),
      );
      const manifestDigest = digestOf(manifest);
      const model = { ...MODEL, manifest, manifestDigest };
      const { agents } = await start(["kolkata"], {
        store: { models: [model] },
      });
      const { weights, registry } = agents[0]!;
      weights.want({ manifestDigest, sizeBytes });
      const refused = registry.counter("weights_refused_versions_total", "");
      await waitUntil(() => refused.read({ reason }) === 1);
      expect(weights.progress(manifestDigest).isComplete).toBe(false);
    },
  );

  // Guards against a manifest of other bytes than the document pins.
  test("does not accept a manifest with another digest", async () => {
    const { agents } = await start(["kolkata"], {
      store: {
        intercept(request, response) {
          if (!request.url!.includes("/manifests/")) return false;
          response.writeHead(200).end(OTHER_MODEL.manifest);
          return true;
        },
      },
    });
    void wantModel(agents);
    const [agent] = agents;
    await waitUntil(() => readTotal(agent!, "weights_corrupt_total") === 1);
    expect(agent!.weights.readManifest(MODEL.manifestDigest)).toBeUndefined();
  });
});
