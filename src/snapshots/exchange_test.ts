import { afterEach, describe, expect, test } from "@jest/globals";
import { brotliCompressSync } from "node:zlib";
import { ok } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import { SILENT_LOGGER } from "../node/testing/start_fleet.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
} from "../wire/mod.ts";
import type { Hello, SnapshotReply, Stream } from "../wire/mod.ts";
import { SYSTEM_CLOCK } from "../membership/mod.ts";
import { createSnapshotServer, pullSnapshot } from "./exchange.ts";
import { createSnapshotStore, computeDigest } from "./snapshot_store.ts";

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

function createStore(versions: readonly string[]) {
  const store = createSnapshotStore("config", {
    parse: (text) => ok(text),
    clock: SYSTEM_CLOCK,
    registry: createRegistry(),
    logger: SILENT_LOGGER,
  });
  store.activate();
  versions.forEach((text, i) => {
    const bytes = Buffer.from(text);
    const version = i + 1;
    store.offer({ version, bytes, publishedAtMs: 0, confirmedAtMs: 0 });
  });
  return store;
}

/** Connects to a peer that handles snapshot streams with `onStream`. */
async function connectTo(onStream: (stream: Stream) => unknown) {
  const hello = (): Hello => ({
    protocolVersion: 1,
    role: "agent",
    host: "h",
    dataCentre: "d",
    incarnation: "i",
    configVersion: 0,
  });
  const common = { hello, counters: createWireCounters(createRegistry()) };
  const listener = await listenForPeers("127.0.0.1:0", {
    ...common,
    handlers: {
      onStream: (_, stream) => void onStream(stream),
      onNotice: () => undefined,
    },
    onPeer: () => undefined,
  });
  const dialled = await connectPeer(listener.address, {
    ...common,
    handlers: { onStream: () => undefined, onNotice: () => undefined },
  });
  const peer = dialled._unsafeUnwrap();
  closers.push(() => listener.close());
  closers.push(() => peer.close("test_over"));
  return peer;
}

const LARGE = "line of a document\n".repeat(40_000);

describe("snapshot exchange", () => {
  // Guards against a reply that is larger than necessary.
  test.each([
    { name: "a held base", held: [LARGE], encoding: "delta" },
    { name: "another base", held: ["other"], encoding: "whole" },
    { name: "no base", held: [], encoding: "whole" },
    {
      name: "the same version",
      held: [LARGE, LARGE + "x"],
      encoding: "unchanged",
    },
  ])(
    "replies with encoding $encoding to a peer with $name",
    async ({ held, encoding }) => {
      const server = createSnapshotServer({
        isRecoveringFromPause: () => false,
      });
      const source = createStore([LARGE, LARGE + "x"]);
      const peer = await connectTo((stream) => server.serve(stream, source));
      const pulled = await pullSnapshot(peer, createStore(held), {
        timeoutMs: 2_000,
      });
      const { reply, bytes } = pulled._unsafeUnwrap();
      expect(reply.encoding).toBe(encoding);
      if (encoding !== "unchanged") {
        expect(bytes?.toString()).toBe(LARGE + "x");
      }
    },
  );

  // Guards against accepting an invalid reply, or buffering it without limit.
  const whole: SnapshotReply = {
    kind: "snapshot_reply",
    version: 2,
    digest: computeDigest(Buffer.from("two")),
    encoding: "whole",
    confirmedAtMs: 0,
    publishedAtMs: 0,
  };
  const delta = { ...whole, encoding: "delta" } as const;
  test.each([
    {
      name: "a value that does not match its digest",
      reply: whole,
      body: brotliCompressSync("tow"),
      failure: "bad_digest",
    },
    {
      name: "a delta for another base",
      reply: { ...delta, keptPrefixBytes: 1 },
      body: Buffer.from("wo"),
      failure: "bad_digest",
    },
    {
      name: "a delta whose prefix exceeds the base",
      reply: { ...delta, keptPrefixBytes: 2 ** 40 },
      body: Buffer.from("wo"),
      failure: "malformed",
    },
    {
      name: "bytes that are not compressed",
      reply: whole,
      body: Buffer.from("two"),
      failure: "malformed",
    },
    {
      name: "a small body that decompresses to an oversized value",
      reply: whole,
      body: brotliCompressSync(Buffer.alloc(50_000_000)),
      failure: "malformed",
    },
    {
      name: "too many bytes",
      reply: whole,
      body: Buffer.alloc(3_000_000),
      failure: "too_large",
    },
    {
      name: "a reply without a version",
      reply: { kind: "snapshot_reply" } as SnapshotReply,
      body: Buffer.alloc(0),
      failure: "malformed",
    },
  ])("fails with $failure on $name", async ({ reply, body, failure }) => {
    const peer = await connectTo(async (stream) => {
      stream.send(reply);
      await stream.write(body);
      stream.end({ outcome: "answered" });
    });
    const pulled = await pullSnapshot(peer, createStore(["one"]), {
      timeoutMs: 2_000,
    });
    expect(pulled._unsafeUnwrapErr()).toBe(failure);
  });

  // Guards against a pull that waits indefinitely for a stalled peer.
  test("fails when the peer does not reply within the timeout", async () => {
    const peer = await connectTo(() => undefined);
    const pulled = await pullSnapshot(peer, createStore([]), { timeoutMs: 50 });
    expect(pulled._unsafeUnwrapErr()).toBe("timeout");
    expect(peer.openStreams?.()).toBe(0);
  });
});
