import { afterEach, describe, expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import { connectPeer, createWireCounters, listenForPeers } from "./mod.ts";
import type { Hello, Peer, PeerListener, RequestHead, Stream } from "./mod.ts";

const HEAD: RequestHead = {
  kind: "request",
  requestId: "r1",
  service: "assistant",
  clientAccount: "a",
  priority: 0,
  method: "POST",
  path: "/v1/completions",
  headers: {},
  configVersion: 1,
  remainingMs: 1000,
  repeatable: true,
  fingerprint: "f",
};

const closers: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

function createHello(host: string): Hello {
  return {
    protocolVersion: 1,
    role: "agent",
    host,
    dataCentre: "d1",
    incarnation: "i",
    configVersion: 1,
  };
}

async function connectPair(onStream: (peer: Peer, stream: Stream) => void) {
  const counters = createWireCounters(createRegistry());
  const listener: PeerListener = await listenForPeers("127.0.0.1:0", {
    hello: () => createHello("server"),
    handlers: { onStream, onNotice: () => undefined },
    counters,
    onPeer: () => undefined,
  });
  const dialled = await connectPeer(listener.address, {
    hello: () => createHello("client"),
    handlers: { onStream: () => undefined, onNotice: () => undefined },
    counters,
  });
  const peer = dialled._unsafeUnwrap();
  closers.push(() => listener.close());
  closers.push(() => peer.close("test_over"));
  return { peer, counters };
}

async function echo(stream: Stream) {
  for (;;) {
    const event = await stream.read();
    if (event.type === "data") await stream.write(event.bytes);
    else if (event.type === "end") {
      return stream.end({ outcome: "answered" });
    } else if (event.type === "lost") return;
  }
}

describe("transport", () => {
  // Guards against loss or reordering when credit is returned.
  test("transfers more data than one credit window in both directions", async () => {
    const { peer } = await connectPair((_, stream) => void echo(stream));
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    const sent = Buffer.alloc(1_000_000, "abcdefg");
    const writing = stream
      .write(sent)
      .then(() => stream.end({ outcome: "answered" }));
    const received: Uint8Array[] = [];
    for (;;) {
      const event = await stream.read();
      if (event.type !== "data") {
        expect(event).toEqual({
          type: "end",
          trailer: { outcome: "answered" },
        });
        break;
      }
      received.push(event.bytes);
    }
    await writing;
    expect(Buffer.concat(received).equals(sent)).toBe(true);
  });

  // Guards against a slow reader that blocks all streams of a connection.
  test("serves a second stream while the first is not read", async () => {
    const { peer } = await connectPair((_, stream) => {
      if (stream.id === 1) void stream.write(Buffer.alloc(2_000_000));
      else void echo(stream);
    });
    peer.openStream(HEAD)._unsafeUnwrap();
    const second = peer.openStream(HEAD)._unsafeUnwrap();
    await second.write(Buffer.from("hi"));
    const event = await second.read();
    expect(event.type).toBe("data");
  });

  // Guards against a handler that is called while its promise is pending, and
  // against memory growth because credit is returned before data is handled.
  test("neither calls the handler nor returns credit while its promise is pending", async () => {
    let isWritten = false;
    const { peer } = await connectPair(async (_, stream) => {
      await stream.write(Buffer.alloc(300_000));
      isWritten = true;
      stream.end({ outcome: "answered" });
    });
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    let release: () => void = () => undefined;
    let calls = 0;
    let sizeBytes = 0;
    const done = stream.forEach((event) => {
      calls += 1;
      if (event.type === "data") sizeBytes += event.bytes.length;
      if (calls > 1) return undefined;
      return new Promise<void>((resolve) => (release = resolve));
    });
    await new Promise((resolve) => setTimeout(resolve, 100));
    expect({ calls, isWritten }).toEqual({ calls: 1, isWritten: false });
    release();
    await done;
    expect({ sizeBytes, isWritten }).toEqual({
      sizeBytes: 300_000,
      isWritten: true,
    });
  });

  // Guards against data that reaches a caller whose response was aborted.
  test("does not call the handler after it has returned stop", async () => {
    const { peer } = await connectPair((_, stream) => {
      ["a", "b", "c"].forEach((text) => stream.tryWrite(Buffer.from(text)));
    });
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    const texts: string[] = [];
    await stream.forEach((event) => {
      if (event.type === "data") texts.push(String(event.bytes));
      return texts.length === 2 ? "stop" : undefined;
    });
    stream.reset("test");
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(texts).toEqual(["a", "b"]);
  });

  // Guards against an error in a handler that terminates the process.
  test("rejects with what a handler throws, synchronously or later", async () => {
    const { peer } = await connectPair((_, stream) => void echo(stream));
    const handlers = [
      () => {
        throw new Error("at once");
      },
      () => Promise.reject(new Error("later")),
    ];
    const messages = await Promise.all(
      handlers.map((handler) => {
        const stream = peer.openStream(HEAD)._unsafeUnwrap();
        stream.tryWrite(Buffer.from("x"));
        return stream.forEach(handler).catch((error: Error) => error.message);
      }),
    );
    expect(messages).toEqual(["at once", "later"]);
  });

  // Guards against a write that exceeds the credit.
  test("writes synchronously only what the credit allows", async () => {
    const { peer } = await connectPair(() => undefined);
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    const part = Buffer.alloc(60_000);
    const sent = Array.from({ length: 6 }, () => stream.tryWrite(part));
    expect(sent).toEqual([true, true, true, true, false, false]);
    stream.end({ outcome: "answered" });
    expect(stream.tryWrite(Buffer.from("x"))).toBe(false);
  });

  // Guards against a broken connection that looks like a complete response.
  test("reports lost, not end, when the connection breaks", async () => {
    const { peer } = await connectPair((serverPeer, stream) => {
      void stream.write(Buffer.from("part")).then(async () => {
        await stream.read();
        serverPeer.close("killed");
      });
    });
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    expect((await stream.read()).type).toBe("data");
    await stream.write(Buffer.from("go"));
    expect((await stream.read()).type).toBe("lost");
    expect(peer.openStream(HEAD).isErr()).toBe(true);
  });

  // Guards against late frames of a reset stream that reach its caller.
  test("drops frames that arrive for a reset stream", async () => {
    let serverStream: Stream | undefined;
    const { peer, counters } = await connectPair((_, stream) => {
      serverStream ??= stream;
      if (stream !== serverStream) void echo(stream);
    });
    const stream = peer.openStream(HEAD)._unsafeUnwrap();
    const second = peer.openStream(HEAD)._unsafeUnwrap();
    await second.write(Buffer.from("x"));
    await second.read();
    // The server has the stream but has not received the reset when it writes.
    const late = serverStream!.write(Buffer.from("late"));
    stream.reset("caller_left");
    await late;
    await second.write(Buffer.from("y"));
    await second.read();
    expect((await stream.read()).type).toBe("lost");
    expect(counters.framesDropped.read({ reason: "no_stream" })).toBe(1);
  });

  // Guards against an oversized head that ends all streams of a connection.
  test("loses only the stream whose head is too large", async () => {
    const { peer } = await connectPair((_, stream) => void echo(stream));
    const headers = { cookie: "x".repeat(300_000) };
    const large = peer.openStream({ ...HEAD, headers })._unsafeUnwrap();
    expect(await large.read()).toEqual({
      type: "lost",
      reason: "frame_too_large",
    });
    const second = peer.openStream(HEAD)._unsafeUnwrap();
    await second.write(Buffer.from("y"));
    expect((await second.read()).type).toBe("data");
  });

  // Guards against a crash on a malformed trailer.
  test.each([undefined, { outcome: "maybe" }])(
    "treats a stream that ends with %p as lost",
    async (trailer) => {
      const { peer } = await connectPair((_, stream) =>
        stream.end(trailer as never),
      );
      const stream = peer.openStream(HEAD)._unsafeUnwrap();
      expect((await stream.read()).type).toBe("lost");
    },
  );

  // Guards against a crash on an invalid address in the host list.
  test.each(["127.0.0.1", "127.0.0.1:99999", "127.0.0.1:0"])(
    "fails to connect to %s",
    async (address) => {
      const dialled = await connectPeer(address, {
        hello: () => createHello("client"),
        handlers: { onStream: () => undefined, onNotice: () => undefined },
        counters: createWireCounters(createRegistry()),
      });
      expect(dialled._unsafeUnwrapErr()).toBe("bad_address");
    },
  );
});
