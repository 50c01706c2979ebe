import { describe, expect, test } from "@jest/globals";
import { createRandom } from "../../bench/random.ts";
import type { FleetView, Host } from "../membership/mod.ts";
import type { LoadNotice, Peer } from "../wire/mod.ts";
import { createDocument } from "../entry/testing/fake_fleet.ts";
import {
  chooseByPrefixAndLoad,
  chooseAgents,
  createLoadHints,
  listCandidates,
  MAX_AGENTS_PER_SERVICE,
} from "./mod.ts";
import type { Candidate, CandidateOptions } from "./mod.ts";

function createPeer(host: string, dataCentre = "d1"): Peer {
  const hello = { role: "agent", host, dataCentre, service: "assistant" };
  return { hello, isClosed: () => false } as unknown as Peer;
}

function createReport(load: Partial<LoadNotice> = {}): LoadNotice {
  return {
    topic: "load",
    sequence: 1,
    service: "assistant",
    phase: "warm",
    inFlight: 0,
    queued: 0,
    limit: 4,
    ...load,
  };
}

function listNames(
  peers: readonly Peer[],
  options: Partial<CandidateOptions> = {},
) {
  return listTestCandidates(peers, options).map(({ host }) => host);
}

function listTestCandidates(
  peers: readonly Peer[],
  options: Partial<CandidateOptions> = {},
) {
  const document = createDocument();
  return listCandidates(document.services[0]!, {
    document,
    hosts: { sequence: 1, hosts: [] },
    peers,
    hints: createLoadHints(),
    dataCentre: "d1",
    triedHosts: new Set(),
    outDataCentres: new Set(),
    ...options,
  });
}

describe("listCandidates", () => {
  const hints = createLoadHints();
  const warm = createPeer("warm");
  const loading = createPeer("loading");
  const old = createPeer("old");
  hints.onReport(warm, createReport({ versionDigest: "x" }));
  hints.onReport(loading, createReport({ phase: "loading" }));
  hints.onReport(old, createReport({ versionDigest: "withdrawn" }));

  // Guards against requests to endpoints that must not get any.
  test("excludes endpoints that cannot serve the request", () => {
    const out = createPeer("out", "d9");
    const allowedDigests = new Set(["x"]);
    const peers = [warm, loading, old, out];
    expect(listNames(peers, { hints, allowedDigests })).toEqual(["warm"]);
    expect(listNames([warm], { triedHosts: new Set(["warm"]) })).toEqual([]);
    const hosts = [{ name: "warm", state: "leaving" } as Host];
    expect(listNames([warm], { hosts: { sequence: 2, hosts } })).toEqual([]);
    const outDataCentres = new Set(["d1"]);
    expect(listNames([warm], { outDataCentres })).toEqual([]);
  });

  // Guards against an endpoint that stays excluded after it has returned.
  test("includes a leaving agent again after its next report", () => {
    hints.markLeaving(warm);
    expect(listNames([warm], { hints })).toEqual([]);
    hints.onReport(warm, createReport({ sequence: 2 }));
    expect(listNames([warm], { hints })).toEqual(["warm"]);
  });
});

describe("load hints", () => {
  // Guards against a request that is counted twice or never released.
  test("counts own requests since the last report", () => {
    const hints = createLoadHints();
    const peer = createPeer("a");
    hints.onReport(peer, createReport({ sequence: 5 }));
    const releases = [1, 2].map(() => hints.addInFlight(peer));
    expect(hints.read(peer)).toMatchObject({ sinceReport: 2, inFlight: 2 });
    releases[0]!();
    expect(hints.read(peer)).toMatchObject({ sinceReport: 1, inFlight: 1 });
    hints.onReport(peer, createReport({ sequence: 4, inFlight: 9 }));
    expect(hints.read(peer).report!.inFlight).toBe(0);
    hints.onReport(peer, createReport({ sequence: 6, inFlight: 1 }));
    releases[1]!();
    expect(hints.read(peer)).toMatchObject({ sinceReport: 0, inFlight: 0 });
  });
});

describe("warming up", () => {
  // Guards against cold endpoints that get more requests than they can handle,
  // and against a roll-out that waits for cold endpoints without requests.
  test.each([
    { phase: "cold", dataCentre: "d1", inFlight: 1, warmUp: "near", cost: 1 },
    { phase: "cold", dataCentre: "d1", inFlight: 2, cost: 1.5 },
    { phase: "cold", dataCentre: "d2", inFlight: 0, warmUp: "far", cost: 0.5 },
    { phase: "warm", dataCentre: "d1", inFlight: 1, cost: 0.5 },
  ] as const)(
    "a $phase endpoint in $dataCentre that runs $inFlight of 2",
    ({ phase, dataCentre, inFlight, cost, ...expected }) => {
      const hints = createLoadHints();
      const peer = createPeer("h1", dataCentre);
      hints.onReport(peer, createReport({ phase, inFlight, limit: 2 }));
      const [candidate] = listTestCandidates([peer], { hints });
      const warmUp = "warmUp" in expected ? expected.warmUp : undefined;
      expect(candidate!.warmUp).toBe(warmUp);
      const distance = dataCentre === "d1" ? [0, 0] : [0.01, 0.5];
      expect(candidate!.cost).toBeGreaterThanOrEqual(cost + distance[0]!);
      expect(candidate!.cost).toBeLessThanOrEqual(cost + distance[1]!);
    },
  );

  // Guards against cold endpoints that get all requests.
  test.each([
    { warmUp: "near", least: 430, most: 570 },
    { warmUp: "far", least: 60, most: 140 },
  ] as const)(
    "a limited share of the requests goes to $warmUp cold endpoints",
    ({ warmUp, least, most }) => {
      const random = createRandom(1);
      const warm = { dataCentre: "d1", cost: 0, peer: createPeer("warm") };
      const candidates: readonly Candidate[] = [
        { ...warm, host: "warm" },
        { ...warm, host: "cold", cost: 0.5, warmUp },
      ];
      const chosen = Array.from({ length: 1_000 }, (_, i) =>
        chooseByPrefixAndLoad(candidates, { promptPrefix: `p${i}`, random }),
      ).filter((candidate) => candidate!.host === "cold").length;
      expect(chosen).toBeGreaterThan(least);
      expect(chosen).toBeLessThan(most);
    },
  );
});

describe("chooseByPrefixAndLoad", () => {
  function createCandidates(costs: readonly number[]): readonly Candidate[] {
    return costs.map((cost, index) => ({
      host: `h${index}`,
      dataCentre: "d1",
      peer: createPeer(`h${index}`),
      cost,
    }));
  }

  // Guards against prefixes that move between endpoints of equal load.
  test("keeps a prefix at one endpoint while loads are equal", () => {
    const candidates = createCandidates([0.5, 0.5, 0.5, 0.5]);
    const chosen = Array.from({ length: 50 }, () =>
      chooseByPrefixAndLoad(candidates, {
        promptPrefix: "prefix",
        random: Math.random,
      }),
    );
    expect(new Set(chosen).size).toBe(1);
  });

  // Guards against a hot prefix that overloads its endpoint.
  test("leaves the prefix's endpoint when another is less loaded", () => {
    const input = { promptPrefix: "prefix", random: () => 0 };
    const equal = createCandidates([0.5, 0.5]);
    const preferred = chooseByPrefixAndLoad(equal, input)!;
    const loaded = equal.map((candidate) =>
      candidate === preferred ? { ...candidate, cost: 0.9 } : candidate,
    );
    expect(chooseByPrefixAndLoad(loaded, input)!.host).not.toBe(preferred.host);
  });
});

describe("choice of the agents to connect to", () => {
  function createView(
    entries: number,
    agents: number,
    document = createDocument([]),
  ): FleetView {
    const hosts = [
      ...Array.from({ length: entries }, (_, i) => createHost("entry", i)),
      ...Array.from({ length: agents }, (_, i) => createHost("endpoint", i)),
    ];
    return {
      config: () => ({
        version: 1,
        publishedAtMs: 0,
        document,
      }),
      hosts: () => ({ sequence: 1, hosts }),
    } as unknown as FleetView;
  }

  function createHost(role: Host["role"], index: number): Host {
    return {
      name: `${role}-${index}`,
      role,
      ...(role === "endpoint" && { service: "assistant" }),
      dataCentre: "d1",
      peerAddress: "127.0.0.1:1",
      state: "live",
    };
  }

  // Guards against agents with connections to too few entries at full scale.
  test.each([
    { entries: 3, agents: 11 },
    { entries: 16, agents: 60 },
    { entries: 400, agents: 3_700 },
    { entries: 401, agents: 3_699 },
  ])(
    "connects each of $agents agents to at least 3 of $entries entries",
    ({ entries, agents }) => {
      const view = createView(entries, agents);
      const counts = new Map<string, number>();
      Array.from({ length: entries }, (_, index) => {
        const chosen = chooseAgents(view, {
          entry: `entry-${index}`,
          isInUse: () => false,
        });
        expect(chosen.length).toBe(Math.min(agents, MAX_AGENTS_PER_SERVICE));
        chosen.forEach(({ name }) =>
          counts.set(name, (counts.get(name) ?? 0) + 1),
        );
      });
      expect(counts.size).toBe(agents);
      expect(Math.min(...counts.values())).toBeGreaterThanOrEqual(3);
    },
  );

  // Guards against keys whose only runner has no connection to an entry.
  test("includes every runner", () => {
    const document = createDocument(["endpoint-3", "endpoint-9"]);
    const services = document.services.map((service) =>
      service.kind === "plain" ? { ...service, name: "assistant" } : service,
    );
    const view = createView(400, 3_700, { ...document, services });
    const names = chooseAgents(view, {
      entry: "entry-0",
      isInUse: () => false,
    }).map(({ name }) => name);
    expect(names).toEqual(expect.arrayContaining(["endpoint-3", "endpoint-9"]));
  });

  // Guards against streams that are cut off when the subset changes.
  test("keeps agents that are in use", () => {
    const names = chooseAgents(createView(400, 3_700), {
      entry: "entry-0",
      isInUse: (name) => name === "endpoint-7",
    }).map(({ name }) => name);
    expect(names).toContain("endpoint-7");
  });
});
