import { describe, expect, test } from "@jest/globals";
import { createRandom, pickOne } from "../../bench/random.ts";
import { createDocument } from "../entry/testing/fake_fleet.ts";
import type { FleetView } from "../membership/mod.ts";
import { chooseWeightPeers } from "../weights/mod.ts";
import { createSwitchDecider } from "./mod.ts";
import type { SwitchMember } from "./mod.ts";

const TARGET = "new";
const SEED = Number(process.env["SEED"] ?? Date.now() % 1_000_000);

type State = "warm" | "loading" | "cold" | "switched";

interface TestAgent {
  readonly host: string;
  /** Connected agents, whichever side chose the connection. */
  readonly neighbours: ReadonlySet<string>;
  readonly ownLoad: number;
  readonly decide: ReturnType<typeof createSwitchDecider>["decide"];
  /** Last received state of each neighbour, which may be outdated. */
  readonly seen: Map<string, SwitchMember>;
  state: State;
}

function createView(hosts: readonly string[]): FleetView {
  const document = createDocument();
  return {
    config: () => ({ version: 1, publishedAtMs: 0, document }),
    hosts: () => ({
      sequence: 1,
      hosts: hosts.map((name) => ({
        name,
        role: "endpoint",
        service: document.services[0]!.name,
        dataCentre: "d1",
        peerAddress: "127.0.0.1:1",
        state: "live",
      })),
    }),
  } as unknown as FleetView;
}

function describeState({ host, state }: TestAgent): SwitchMember {
  const isNew = state === "cold" || state === "switched";
  return {
    host,
    isServing: state !== "loading",
    isWarm: state === "warm" || state === "switched",
    isTargetComplete: true,
    servingDigest: isNew ? TARGET : "old",
  };
}

function createAgents(count: number, random: () => number) {
  const hosts = Array.from({ length: count }, (_, i) => `h${i}`);
  const view = createView(hosts);
  const service = view.config()!.document.services[0]!.name;
  const chosen = new Map(
    hosts.map((host) => [
      host,
      chooseWeightPeers(view, { host, service }).map(({ name }) => name),
    ]),
  );
  const mostLoad = pickOne(random, [0, 0.5]);
  const agents = hosts.map((host): TestAgent => {
    const callers = hosts.filter((other) => chosen.get(other)!.includes(host));
    return {
      host,
      neighbours: new Set([...chosen.get(host)!, ...callers]),
      ownLoad: random() * mostLoad,
      decide: createSwitchDecider(() => 0).decide,
      seen: new Map(),
      state: "warm",
    };
  });
  const byHost = new Map(agents.map((agent) => [agent.host, agent]));
  agents.forEach(({ neighbours, seen }) =>
    neighbours.forEach((host) =>
      seen.set(host, describeState(byHost.get(host)!)),
    ),
  );
  return byHost;
}

function listHosts({ host, neighbours }: TestAgent) {
  return [host, ...neighbours];
}

function isUnavailable({ state }: TestAgent): boolean {
  return state === "loading" || state === "cold";
}

/** The agent decides from its view, or continues its switch. */
function advance(agent: TestAgent) {
  if (agent.state === "loading") agent.state = "cold";
  else if (agent.state === "cold") agent.state = "switched";
  else if (agent.state === "warm") {
    const decision = agent.decide({
      ownHost: agent.host,
      targetDigest: TARGET,
      targetAgeMs: 29_000,
      hosts: listHosts(agent),
      members: [...agent.seen.values()],
      ownState: "warm",
      ownLoad: agent.ownLoad,
    });
    if (decision === "switch") agent.state = "loading";
  }
}

/** Runs decisions, switch steps and notice arrivals in random order. */
function runRollout(count: number, random: () => number) {
  const agents = createAgents(count, random);
  const all = [...agents.values()];
  const advanceShare = 0.05 + random() * 0.8;
  let maxUnavailable = 0;
  let steps = 0;
  while (all.some(({ state }) => state !== "switched")) {
    steps += 1;
    // Sometimes all decide at once, before any notice of it arrives.
    if (steps === 1 || random() < 0.2 / count) all.forEach(advance);
    if (steps > 5_000 * count) throw new Error("the roll-out did not finish");
    if (random() < advanceShare) advance(pickOne(random, all));
    else {
      const to = pickOne(random, all);
      const from = agents.get(pickOne(random, [...to.neighbours]))!;
      to.seen.set(from.host, describeState(from));
    }
    maxUnavailable = Math.max(maxUnavailable, all.filter(isUnavailable).length);
  }
  return { agents: all, maxUnavailable };
}

describe(`switch decisions with outdated views (SEED=${SEED})`, () => {
  // Guards against a data centre without a warm endpoint, and against losing
  // more than half of its capacity, when agents that are all connected decide
  // at the same time from outdated reports.
  test.each([2, 3, 4, 5, 6, 11, 22, 24])(
    "%d fully connected agents keep half of their endpoints warm",
    (count) => {
      Array.from({ length: 20 }, (_, run) => {
        const { maxUnavailable } = runRollout(count, createRandom(SEED + run));
        expect(maxUnavailable).toBeLessThanOrEqual(Math.ceil(count / 2));
        expect(maxUnavailable).toBeLessThan(count);
      });
    },
  );

  // Guards against the same faults when each agent is connected to only some.
  test.each([33, 87, 200])(
    "%d partly connected agents keep a third of their endpoints warm",
    (count) => {
      const most = Array.from({ length: 4 }, (_, run) => {
        const random = createRandom(SEED + run);
        const { agents, maxUnavailable } = runRollout(count, random);
        agents.forEach(({ neighbours }) =>
          expect(neighbours.size).toBeLessThan(count - 1),
        );
        return maxUnavailable / count;
      });
      // Half of each agent's neighbours is not exactly half of all agents.
      expect(Math.max(...most)).toBeLessThanOrEqual(2 / 3);
    },
  );
});
