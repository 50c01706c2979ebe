import { expect, jest, test } from "@jest/globals";
import type { Logger } from "../logging/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Peer } from "../wire/mod.ts";
import { createWireCounters } from "../wire/mod.ts";
import { createTrafficCounters, startTrafficLog } from "./mod.ts";

function createPeer(dataCentre: string, roundTripMs: number): Peer {
  return { hello: { dataCentre }, roundTripMs: () => roundTripMs } as Peer;
}

// Guards against logs that do not tell a full link from a busy process.
test("logs bytes by purpose, round trips and event loop utilisation each second", () => {
  jest.useFakeTimers({ now: 0 });
  const registry = createRegistry();
  const lines: Record<string, unknown>[] = [];
  const info = (line: unknown) => lines.push(line as Record<string, unknown>);
  const log = startTrafficLog({
    registry,
    logger: { info } as unknown as Logger,
    listPeers: () => [
      createPeer("near", 2),
      createPeer("far", 40),
      createPeer("far", 700),
    ],
  });
  const { bytesSent } = createWireCounters(registry);
  bytesSent.increment({ purpose: "members", to: "far" }, 300);
  createTrafficCounters(registry).bytesReceived.increment(
    { purpose: "kv-watch", from: "store" },
    50,
  );
  jest.advanceTimersByTime(1_000);
  bytesSent.increment({ purpose: "members", to: "far" }, 20);
  jest.advanceTimersByTime(1_000);
  log.close();
  jest.useRealTimers();
  expect(lines).toHaveLength(2);
  expect(lines[0]).toMatchObject({
    peers: 3,
    sentBytes: { "members far": 300 },
    receivedBytes: { "kv-watch store": 50 },
    roundTripMs: { near: 2, far: 700 },
  });
  expect(lines[0]!["loopBusyShare"]).toBeGreaterThanOrEqual(0);
  expect(lines[1]!["sentBytes"]).toEqual({ "members far": 20 });
});
