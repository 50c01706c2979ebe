import { afterEach, describe, expect, test } from "@jest/globals";
import { connect } from "node:net";
import type { Peer, Stream } from "../wire/mod.ts";
import { computeDigest } from "./testing/test_store.ts";
import {
  closeAll,
  expectExactBytes,
  MODEL,
  OTHER_MODEL,
  readCounterTotal,
  startFleet,
  waitUntil,
  transferModel,
} from "./testing/weight_setup.ts";

afterEach(closeAll);

/** The correct bytes of the requested chunk or manifest. */
function findBytes(stream: Stream): Buffer {
  const index = stream.head.kind === "chunk" ? stream.head.index : 0;
  return index < 0 ? MODEL.manifest : [...MODEL.chunks.values()][index]!;
}

describe("faulty senders", () => {
  const faults: readonly {
    readonly name: string;
    readonly onChunkStream: (peer: Peer, stream: Stream) => void;
    readonly counter: string;
  }[] = [
    {
      // Guards against corrupt chunks that are kept or served to others.
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
      // Guards against accepting more bytes than a chunk has.
      name: "chunks without end",
      async onChunkStream(_, stream) {
        const piece = Buffer.alloc(64 * 1024);
        while ((await stream.write(piece)).isOk());
      },
      counter: "weights_corrupt_total",
    },
    {
      // Guards against a stalled sender that delays the last chunk.
      name: "a stall without a closed connection",
      async onChunkStream(_, stream) {
        await stream.write(findBytes(stream).subarray(0, 100));
      },
      counter: "weights_failed_requests_total",
    },
    {
      // Guards against an incomplete chunk that is treated as complete.
      name: "a sender that dies in the middle of a chunk",
      async onChunkStream(peer, stream) {
        await stream.write(findBytes(stream).subarray(0, 1000));
        setImmediate(() => peer.close("killed"));
      },
      counter: "weights_failed_requests_total",
    },
  ];

  test.each(faults)("survives $name", async ({ onChunkStream, counter }) => {
    const { agents } = await startFleet(["kolkata", "kolkata", "siliguri"], {
      first: { onChunkStream },
    });
    const [faulty, ...healthy] = agents;
    // The faulty agent holds all chunks before the others start.
    await transferModel([faulty!]);
    await transferModel(healthy);
    healthy.forEach((agent) => expectExactBytes(agent));
    const seen = healthy.map((agent) => readCounterTotal(agent, counter));
    expect(Math.max(...seen)).toBeGreaterThan(0);
    if (counter !== "weights_corrupt_total") return;
    // Requests to a peer are sequential, and one fault excludes it.
    seen.forEach((count) => expect(count).toBeLessThanOrEqual(1));
  });

  // Guards against a process that terminates because of one faulty sender.
  test("survives garbage frames and malformed notices", async () => {
    const { agents } = await startFleet(["kolkata", "kolkata"]);
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
      () => readCounterTotal(first!, "weights_malformed_notices_total") === 1,
    );
    await transferModel(agents);
    agents.forEach((agent) => expectExactBytes(agent));
  });
});

describe("store faults", () => {
  // Guards against a transfer that stops, or retries too fast, while the
  // store is down.
  test("completes after an outage of the store during the transfer", async () => {
    let isDown = false;
    let refused = 0;
    const { store, agents } = await startFleet(["kolkata", "kolkata"], {
      store: {
        intercept(_, response) {
          if (!isDown) return false;
          refused += 1;
          response.writeHead(503).end();
          return true;
        },
      },
    });
    const done = transferModel(agents);
    await waitUntil(() => store.sentBytes() > MODEL.sizeBytes / 2);
    isDown = true;
    await waitUntil(() => refused > 3);
    isDown = false;
    await done;
    agents.forEach((agent) => expectExactBytes(agent));
  });

  // Guards against accepting damaged chunks from the store.
  test("rejects a corrupt chunk of the store and asks again", async () => {
    const [digest, bytes] = [...MODEL.chunks][5]!;
    let isFirst = true;
    const { agents } = await startFleet(["kolkata"], {
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
    await transferModel(agents);
    expectExactBytes(agents[0]!);
    expect(readCounterTotal(agents[0]!, "weights_corrupt_total")).toBe(1);
  });

  const chunk = { digest: computeDigest(Buffer.from("x")), size_bytes: 1 };
  const huge = { ...chunk, size_bytes: 2 ** 40 };
  const refusals = [
    // Guards against manifests that exhaust memory or that can never complete.
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
      const manifestDigest = computeDigest(manifest);
      const model = { ...MODEL, manifest, manifestDigest };
      const { agents } = await startFleet(["kolkata"], {
        store: { models: [model] },
      });
      const { weights, registry } = agents[0]!;
      weights.setWantedVersion({ manifestDigest, sizeBytes });
      const refused = registry.counter("weights_refused_versions_total", "");
      await waitUntil(() => refused.read({ reason }) === 1);
      expect(weights.progress(manifestDigest).isComplete).toBe(false);
    },
  );

  // Guards against a manifest with another digest than in the document.
  test("does not accept a manifest with another digest", async () => {
    const { agents } = await startFleet(["kolkata"], {
      store: {
        intercept(request, response) {
          if (!request.url!.includes("/manifests/")) return false;
          response.writeHead(200).end(OTHER_MODEL.manifest);
          return true;
        },
      },
    });
    void transferModel(agents);
    const [agent] = agents;
    await waitUntil(
      () => readCounterTotal(agent!, "weights_corrupt_total") === 1,
    );
    expect(agent!.weights.readManifest(MODEL.manifestDigest)).toBeUndefined();
  });
});
