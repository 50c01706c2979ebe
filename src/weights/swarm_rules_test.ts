import { describe, expect, test } from "@jest/globals";
import type { FleetView, Host } from "../membership/mod.ts";
import { createAssignments } from "./assignments.ts";
import type { TopologyLevel } from "./assignments.ts";
import { chooseWeightPeers } from "./choose_weight_peers.ts";
import { createLinkRateLimiter } from "./link_rate_limiter.ts";
import { chooseRelays, findMembers } from "./members.ts";
import type { Member } from "./members.ts";
import type { TransferView } from "./policy.ts";
import { decideInSwarm } from "./swarm_policy.ts";

const CHUNKS = 300;

/** Hosts spread evenly over data centres d0, d1, ... */
function createHosts(dataCentres: number, each: number): readonly Host[] {
  return Array.from({ length: dataCentres * each }, (_, index) => ({
    name: `h${index}`,
    role: "endpoint" as const,
    service: "assistant",
    dataCentre: `d${index % dataCentres}`,
    peerAddress: "127.0.0.1:1",
    state: "live" as const,
  }));
}

/** Each two consecutive data centres form a region. */
function createMembers(dataCentres: number, each: number): readonly Member[] {
  return createHosts(dataCentres, each).map((host) => ({
    host,
    region: `r${Math.floor(Number(host.dataCentre.slice(1)) / 2)}`,
  }));
}

function createView(hosts: readonly Host[]): FleetView {
  return {
    config: () => undefined,
    configConfirmedAtMs: () => 0,
    hosts: () => ({ sequence: 1, hosts }),
    onChange: () => undefined,
    isRecoveringFromPause: () => false,
  };
}

function createAllAssignments(members: readonly Member[]) {
  return members.map((member) => ({
    member,
    assignments: createAssignments({
      relays: members,
      ownHostName: member.host.name,
      manifestDigest: "sha256:x",
      chunkCount: CHUNKS,
    }),
  }));
}

/** Peers of each host; a connection exists if either side chooses the other. */
function buildPeerGraph(hosts: readonly Host[]) {
  const view = createView(hosts);
  const links = new Map(hosts.map(({ name }) => [name, new Set<string>()]));
  hosts.forEach(({ name }) =>
    chooseWeightPeers(view, { host: name, service: "assistant" }).forEach(
      (peer) => {
        links.get(name)!.add(peer.name);
        links.get(peer.name)!.add(name);
      },
    ),
  );
  return links;
}

describe("assignments", () => {
  // Guards against a chunk assigned to two agents, or to none.
  test("assigns each chunk to exactly one agent in each group", () => {
    const all = createAllAssignments(createMembers(4, 4));
    const groups: readonly [TopologyLevel, (member: Member) => string][] = [
      ["fleet", () => "all"],
      ["region", (member) => member.region],
      ["data_centre", (member) => member.host.dataCentre],
    ];
    groups.forEach(([level, groupOf]) => {
      for (let index = 0; index < CHUNKS; index += 1) {
        const first = all.filter(
          ({ assignments }) =>
            assignments.listEarlierFetchers(level, index)?.length === 0,
        );
        const names = first.map(({ member }) => groupOf(member));
        const expected = new Set(all.map(({ member }) => groupOf(member)));
        expect(names.sort()).toEqual([...expected].sort());
      }
    });
  });

  // Guards against one agent with so many chunks that the whole fleet waits.
  test("assigns chunks evenly over the fleet", () => {
    const all = createAllAssignments(createMembers(2, 8));
    const loads = all.map(
      ({ assignments }) =>
        Array.from({ length: CHUNKS }).filter(
          (_, index) =>
            assignments.listEarlierFetchers("fleet", index)?.length === 0,
        ).length,
    );
    expect(Math.max(...loads)).toBeLessThanOrEqual(Math.ceil(CHUNKS / 16));
  });
});

describe("weight peers", () => {
  // Guards against a part of a small fleet that chunks cannot reach.
  test("connects all agents of a small fleet", () => {
    const hosts = createHosts(3, 5);
    const peers = chooseWeightPeers(createView(hosts), {
      host: "h0",
      service: "assistant",
    });
    expect(peers.map(({ name }) => name).sort()).toEqual(
      hosts
        .map(({ name }) => name)
        .filter((name) => name !== "h0")
        .sort(),
    );
  });

  // Guards against control traffic that grows with the size of the data centre:
  // each connection takes about 60 bytes/s of a budget of 2 KB/s.
  test.each([
    { count: 24, most: 23, mostOfRelay: 23 },
    { count: 32, most: 31, mostOfRelay: 31 },
    { count: 33, most: 31, mostOfRelay: 31 },
    { count: 128, most: 31, mostOfRelay: 60 },
  ])(
    "bounds the peers in a data centre of $count",
    ({ count, most, mostOfRelay }) => {
      const hosts = createHosts(1, count);
      const members = findMembers(createView(hosts), "assistant");
      const relays = chooseRelays(members).map(({ host }) => host.name);
      buildPeerGraph(hosts).forEach((peers, name) =>
        expect(peers.size).toBeLessThanOrEqual(
          relays.includes(name) ? mostOfRelay : most,
        ),
      );
    },
  );

  // Guards against a full mesh of 520 agents and against a partitioned graph.
  test("bounds the peers of 520 agents and connects them all", () => {
    const hosts = createHosts(6, 87);
    const view = createView(hosts);
    const links = buildPeerGraph(hosts);
    const relays = new Set(
      chooseRelays(findMembers(view, "assistant")).map((g) => g.host.name),
    );
    links.forEach((peers, name) =>
      expect(peers.size).toBeLessThanOrEqual(relays.has(name) ? 100 : 20),
    );
    const seen = new Set(["h0"]);
    [...Array(10)].forEach(() =>
      [...seen].forEach((name) => links.get(name)!.forEach((n) => seen.add(n))),
    );
    expect(seen.size).toBe(hosts.length);
  });
});

describe("link rate limiter", () => {
  // Guards against weight transfer that takes bandwidth from live requests.
  test("delays weights by the transmission time of live bytes", async () => {
    let clockMs = 0;
    let liveBytes = 0;
    const limiter = createLinkRateLimiter({
      readBytesPerS: () => 1_000_000,
      readTransferredBytes: () => liveBytes,
      // Each reading of the clock advances it by one millisecond.
      nowMs: () => (clockMs += 1),
    });
    liveBytes = 200_000;
    await limiter.waitForBandwidth();
    expect(clockMs).toBeGreaterThanOrEqual(200);
    limiter.close();
  }, 60_000);
});

describe("swarm policy", () => {
  const NONE = { fleet: 0, region: 0, data_centre: 0 };
  const NEAR = { fleet: 2, region: 2, data_centre: 2 };
  const FAR = { fleet: 1, region: 0, data_centre: 0 };

  function view(options: {
    readonly holders: readonly Readonly<Record<TopologyLevel, number>>[];
    readonly source?: Partial<TransferView["source"]>;
    readonly canFetch?: boolean;
    readonly change?: Partial<TransferView>;
  }): TransferView {
    return {
      nowMs: 0,
      source: {
        kind: "peer",
        distance: "data_centre",
        has: () => true,
        sentCopies: () => 0,
        ...options.source,
      },
      chunkCount: options.holders.length,
      peerRequestsInFlight: 0,
      isHeld: () => false,
      needsRequest: () => true,
      countHolders: (level, index) => options.holders[index]![level],
      hasLessUsedHolder: () => false,
      isAssigned: () => false,
      canFetch: () => options.canFetch ?? true,
      storeWindowChunks: 4,
      regionLinkFreeAtMs: 0,
      random: () => 0.5,
      ...options.change,
    };
  }

  const store = { kind: "store" } as const;
  const other = { distance: "other_region" } as const;
  const cases: readonly [string, TransferView, number | "wait"][] = [
    [
      "the rarest chunk of the data centre first",
      view({ holders: [NEAR, { ...NEAR, data_centre: 1 }, NEAR] }),
      1,
    ],
    [
      "no chunk from the store that the fleet holds",
      view({ holders: [FAR, NEAR], source: store }),
      "wait",
    ],
    [
      "no chunk from the store that this agent may not fetch",
      view({ holders: [NONE], source: store, canFetch: false }),
      "wait",
    ],
    [
      "an assigned chunk from the store before one that it takes over",
      view({
        holders: [NONE, NONE, NONE],
        source: store,
        change: { isAssigned: (_, index) => index === 2 },
      }),
      2,
    ],
    [
      "from the store only within the window",
      view({
        holders: [NONE, NONE, NONE, NONE, NONE],
        source: store,
        change: { canFetch: (_, index) => index === 4 },
      }),
      "wait",
    ],
    [
      "no chunk from another region that the data centre holds",
      view({ holders: [NEAR], source: other }),
      "wait",
    ],
    [
      "a chunk that the region lacks",
      view({ holders: [FAR], source: other }),
      0,
    ],
    [
      "nothing from another region while its share of the link is used up",
      view({
        holders: [FAR],
        source: other,
        change: { regionLinkFreeAtMs: 9 },
      }),
      "wait",
    ],
    [
      "nothing from a peer that has sent much more than another holder",
      view({ holders: [NEAR], change: { hasLessUsedHolder: () => true } }),
      "wait",
    ],
    [
      "nothing more when all request slots are used",
      view({ holders: [NEAR], change: { peerRequestsInFlight: 4 } }),
      "wait",
    ],
  ];
  // Guards against more than one copy from the store or between regions.
  test.each(cases)("fetches %s", (_, transferView, expected) => {
    const decision = decideInSwarm(transferView);
    expect(decision.type === "fetch" ? decision.index : "wait").toBe(expected);
  });
});
