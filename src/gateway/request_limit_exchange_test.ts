import { expect, test } from "@jest/globals";
import { createEndpoint, SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createStatedLimits } from "../limits/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Notice, Peer } from "../wire/mod.ts";
import { startRequestLimitExchange } from "./request_limit_exchange.ts";

const ENDPOINT = createEndpoint({ startedAtMs: 1_000 });
const CLOCK_OFFSET_MS = 5_000;

interface TestEntry {
  readonly host: string;
  readonly statedLimits: ReturnType<typeof createStatedLimits>;
  readonly exchange: ReturnType<typeof startRequestLimitExchange>;
  /** Returns a function that starts the exchange. */
  connect(other: TestEntry): () => void;
  receive(senderHost: string, notice: Notice): void;
  readonly nowMs: () => number;
}

/** Entries whose monotonic clocks have nothing to do with each other. */
function createEntries(count: number) {
  const time = { nowMs: 0 };
  const traffic = { notices: 0 };
  const entries = Array.from({ length: count }, (_, index): TestEntry => {
    const host = `entry-${index}`;
    const nowMs = () => time.nowMs + (index + 1) * CLOCK_OFFSET_MS;
    const statedLimits = createStatedLimits({
      nowMs,
      registry: createRegistry(),
      logger: SILENT_LOGGER,
    });
    const peers: Peer[] = [];
    const peerHandlers: ((peer: Peer) => void)[] = [];
    const handlers = new Map<string, (peer: Peer, notice: Notice) => void>();
    const exchange = startRequestLimitExchange({
      statedLimits,
      mesh: {
        peers: () => peers,
        onPeer: (handler) => void peerHandlers.push(handler),
        onMeshNotice: (topic, handler) => void handlers.set(topic, handler),
      } as Pick<Mesh, "onPeer" | "onMeshNotice" | "peers">,
      isReported: () => false,
      onGrant: () => undefined,
      nowMs,
    });
    const self: TestEntry = {
      host,
      statedLimits,
      exchange,
      nowMs,
      receive(senderHost, notice) {
        const sender = peers.find(({ hello }) => hello.host === senderHost)!;
        handlers.get(notice.topic)!(sender, notice);
      },
      connect(other) {
        const peer = {
          hello: { role: "entry", host: other.host },
          sendNotice(notice: Notice) {
            traffic.notices += 1;
            if (traffic.notices > 1_000) throw new Error("endless exchange");
            other.receive(host, notice);
          },
        } as unknown as Peer;
        peers.push(peer);
        return () => peerHandlers.forEach((handle) => handle(peer));
      },
    };
    return self;
  });
  const connect = (a: number, b: number) => {
    const starts = [
      entries[a]!.connect(entries[b]!),
      entries[b]!.connect(entries[a]!),
    ];
    starts.forEach((start) => start());
  };
  return {
    entries,
    connect,
    traffic,
    time,
    respond(index: number, ratePerS: number) {
      const { exchange, nowMs } = entries[index]!;
      time.nowMs += 300;
      const statement = { sentAtMs: nowMs() - 20, heardAtMs: nowMs() };
      exchange.onStatement(ENDPOINT, { ratePerS, ...statement });
    },
    rates: () =>
      entries.map(
        ({ statedLimits }) => statedLimits.read(ENDPOINT)?.ratePerS ?? Infinity,
      ),
  };
}

// Guards against entries that learn of a limit, or of its end, only from their
// own responses: those that send nothing there get none.
test("a limit and its end reach entries that are not connected to the one that heard them", () => {
  const { connect, respond, rates } = createEntries(4);
  connect(0, 1);
  connect(1, 2);
  connect(2, 3);
  respond(0, 2);
  expect(rates()).toEqual([2, 2, 2, 2]);
  respond(3, 1);
  expect(rates()).toEqual([1, 1, 1, 1]);
  respond(1, Infinity);
  expect(rates()).toEqual(Array(4).fill(Infinity));
});

test("an entry that connects later learns of limits in force", () => {
  const { connect, respond, rates } = createEntries(3);
  respond(0, 2);
  connect(0, 1);
  connect(1, 2);
  expect(rates()).toEqual([2, 2, 2]);
});

// Guards against notices that go round for ever in a ring of entries, and
// against a notice for each response.
test("a limit that goes on is passed on once a second by the entries that hear it", () => {
  const { connect, respond, traffic, time } = createEntries(3);
  connect(0, 1);
  connect(1, 2);
  connect(2, 0);
  respond(0, 2);
  const first = traffic.notices;
  expect(first).toBeLessThanOrEqual(6);
  for (let index = 0; index < 10; index += 1) {
    time.nowMs -= 200;
    respond(0, 2);
  }
  expect(traffic.notices - first).toBeLessThanOrEqual(4);
});

// Guards against a flood of notices by an endpoint that names another limit in
// each response.
test("an endpoint that names another limit in each response is passed on five times a second", () => {
  const { connect, respond, traffic, time } = createEntries(2);
  connect(0, 1);
  const startMs = time.nowMs;
  for (let index = 0; index < 100; index += 1) {
    time.nowMs -= 280;
    respond(0, 1 + (index % 2));
  }
  const seconds = (time.nowMs - startMs) / 1_000;
  expect(traffic.notices).toBeLessThanOrEqual(5 * seconds + 1);
});
