import { describe, expect, test } from "@jest/globals";
import { createDocument } from "../entry/testing/fake_fleet.ts";
import type { Host } from "../membership/mod.ts";
import type { NodeIdentity } from "../node/mod.ts";
import type { WeightPeer } from "../weights/mod.ts";
import { createSwitchViewReader } from "./rollout_view.ts";

const TARGET = "new";

function createHost(name: string, changes: Partial<Host> = {}): Host {
  return {
    name,
    role: "endpoint",
    service: "assistant",
    dataCentre: "d1",
    peerAddress: "127.0.0.1:1",
    state: "live",
    ...changes,
  };
}

function createPeer(host: string, changes: Partial<WeightPeer> = {}) {
  return {
    host,
    dataCentre: "d1",
    service: "assistant",
    phase: "warm" as const,
    servingDigest: "old",
    wantedDigest: TARGET,
    chunksHeld: 2,
    chunkCount: 2,
    ...changes,
  };
}

function createReader(hosts: readonly Host[], peers: readonly WeightPeer[]) {
  const list = { sequence: 1, hosts };
  const config = { version: 1, publishedAtMs: 0, document: createDocument() };
  return createSwitchViewReader({
    node: {
      identity: { host: "h0", dataCentre: "d1" } as NodeIdentity,
      view: {
        config: () => config,
        hosts: () => list,
        configConfirmedAtMs: () => 0,
        onChange: () => undefined,
        isRecoveringFromPause: () => false,
      },
    },
    weights: { peers: () => peers },
    service: "assistant",
  });
}

describe("switch view", () => {
  // Guards against relying on endpoints that do not serve the same requests.
  test("contains the live agents of its service and data centre", () => {
    const hosts = [
      createHost("h0"),
      createHost("h1"),
      createHost("lost"),
      createHost("leaving", { state: "leaving" }),
      createHost("elsewhere", { dataCentre: "d2" }),
      createHost("other", { service: "booking" }),
      createHost("entry", { role: "entry" }),
    ];
    const peers = hosts
      .filter(({ name }) => name !== "lost")
      .concat(createHost("unlisted"))
      .map(({ name }) => createPeer(name));
    const view = createReader(hosts, peers)(TARGET);
    expect([...view.hosts].sort()).toEqual(["h0", "h1", "lost"]);
    expect(view.members.map(({ host }) => host)).toEqual(["h1"]);
  });

  // Guards against a roll-out in a large data centre that waits for agents it
  // is never connected to, and against one that ignores agents whose connection
  // was lost.
  test.each([
    { agents: 24, least: 24, most: 24 },
    { agents: 32, least: 32, most: 32 },
    { agents: 33, least: 8, most: 20 },
    { agents: 617, least: 12, most: 32 },
  ])("of $agents agents it includes between $least and $most", (table) => {
    const hosts = Array.from({ length: table.agents }, (_, i) =>
      createHost(`h${i}`),
    );
    const lost = createReader(hosts, [])(TARGET).hosts;
    expect(lost.length).toBeGreaterThanOrEqual(table.least);
    expect(lost.length).toBeLessThanOrEqual(table.most);
    const other = hosts.find(({ name }) => !lost.includes(name))?.name;
    if (other === undefined) return;
    const caller = createReader(hosts, [createPeer(other)])(TARGET);
    expect([...caller.hosts].sort()).toEqual([...lost, other].sort());
  });

  // Guards against treating an agent as unable to switch although it can.
  test.each([
    { name: "has all chunks", changes: {}, isTargetComplete: true },
    {
      name: "lacks some chunks",
      changes: { chunksHeld: 1 },
      isTargetComplete: false,
    },
    {
      name: "does not know the chunk count",
      changes: { chunksHeld: 0, chunkCount: 0 },
      isTargetComplete: false,
    },
    {
      name: "fetches another version",
      changes: { wantedDigest: "old" },
      isTargetComplete: false,
    },
  ])(
    "tells whether a member can switch if it $name",
    ({ changes, isTargetComplete }) => {
      const hosts = [createHost("h0"), createHost("h1")];
      const view = createReader(hosts, [createPeer("h1", changes)])(TARGET);
      expect(view.members).toEqual([
        {
          host: "h1",
          isServing: true,
          isWarm: true,
          isTargetComplete,
          servingDigest: "old",
        },
      ]);
    },
  );
});
