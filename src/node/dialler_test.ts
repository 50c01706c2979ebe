import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import type { Hello, Peer } from "../wire/mod.ts";
import { createConnections } from "./connections.ts";
import { createDialler } from "./dialler.ts";
import type { NodeIdentity } from "./node.ts";
import { SILENT_LOGGER } from "./testing/start_fleet.ts";

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

function createFakePeer(host: string) {
  let resolve: (reason: string) => void = () => undefined;
  let isClosed = false;
  const closed = new Promise<string>((done) => (resolve = done));
  return {
    hello: { host, incarnation: "i", role: "agent" } as Hello,
    closed,
    isClosed: () => isClosed,
    openStreams: () => 0,
    close(reason: string) {
      isClosed = true;
      resolve(reason);
    },
  } as unknown as Peer;
}

function start(dial: () => Result<Peer, string>) {
  const registry = createRegistry();
  const identity = { host: "a", incarnation: "i" } as NodeIdentity;
  const connections = createConnections({ identity, logger: SILENT_LOGGER });
  let dials = 0;
  const dialler = createDialler({
    connections,
    registry,
    async dial() {
      dials++;
      return dial();
    },
  });
  dialler.setTargets([{ host: "b", address: "127.0.0.1:1" }]);
  return { dialler, connections, registry, countDials: () => dials };
}

describe("dialler", () => {
  // Guards against dialling in a tight loop, and against ending the attempts.
  test.each([
    { name: "refuses", dial: () => err("ECONNREFUSED") },
    {
      name: "accepts and closes at once",
      dial() {
        const peer = createFakePeer("b");
        setTimeout(() => peer.close("closed_by_peer"), 1);
        return ok(peer);
      },
    },
    { name: "is another host", dial: () => ok(createFakePeer("c")) },
  ])("dials at a bounded rate when the peer $name", async ({ dial }) => {
    const { dialler, countDials } = start(dial);
    await jest.advanceTimersByTimeAsync(120_000);
    const dialsBefore = countDials();
    await jest.advanceTimersByTimeAsync(60_000);
    const dialsPerMin = countDials() - dialsBefore;
    dialler.close();
    // Full jitter with a limit of 2 s gives about one dial per second.
    expect(dialsPerMin).toBeGreaterThan(20);
    expect(dialsPerMin).toBeLessThan(120);
  });

  // Guards against a host that is not dialled again after its connection closed.
  test("dials again soon after a connection closes", async () => {
    const { dialler, connections, countDials } = start(() =>
      ok(createFakePeer("b")),
    );
    await jest.advanceTimersByTimeAsync(10_000);
    expect(countDials()).toBe(1);
    connections.find("b")!.close("silent");
    await jest.advanceTimersByTimeAsync(200);
    expect(connections.find("b")?.isClosed()).toBe(false);
    dialler.close();
  });

  // Guards against connections that accumulate as the chosen hosts change.
  test("closes a connection that is no longer wanted after a delay", async () => {
    const { dialler, connections } = start(() => ok(createFakePeer("b")));
    await jest.advanceTimersByTimeAsync(1_000);
    const peer = connections.find("b")!;
    dialler.setTargets([]);
    await jest.advanceTimersByTimeAsync(50_000);
    expect(peer.isClosed()).toBe(false);
    await jest.advanceTimersByTimeAsync(15_000);
    expect(peer.isClosed()).toBe(true);
    dialler.close();
  });
});
