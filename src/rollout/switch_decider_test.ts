import { describe, expect, test } from "@jest/globals";
import { rankByHash } from "../hashing/mod.ts";
import { countNeededEndpoints } from "./count_needed.ts";
import { createSwitchDecider } from "./mod.ts";
import type { SwitchMember, SwitchView } from "./mod.ts";

const TARGET = "new";
const HOSTS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const RANKED = rankByHash(TARGET, HOSTS);
const BUSY = 0.45;

function createMember(
  host: string,
  changes: Partial<SwitchMember> = {},
): SwitchMember {
  return {
    host,
    isServing: true,
    isWarm: true,
    isTargetComplete: true,
    servingDigest: "old",
    ...changes,
  };
}

const OLD = HOSTS.map((host) => createMember(host));
const DOWN = { isServing: false, isWarm: false };
const COLD = { isWarm: false };
const SWITCHED = { servingDigest: TARGET };

/** Changes the members at these ranks. */
function changeRanks(
  ranks: readonly number[],
  changes: Partial<SwitchMember>,
  members: readonly SwitchMember[] = OLD,
) {
  return members.map((member) =>
    ranks.includes(RANKED.indexOf(member.host))
      ? { ...member, ...changes }
      : member,
  );
}

function createView(
  rank: number,
  members: readonly SwitchMember[],
  changes: Partial<SwitchView> = {},
): SwitchView {
  const ownHost = RANKED[rank]!;
  return {
    ownHost,
    targetDigest: TARGET,
    targetAgeMs: Infinity,
    hosts: HOSTS,
    members: members.filter(({ host }) => host !== ownHost),
    ownState: "warm",
    ownLoad: 0,
    ...changes,
  };
}

/** Decides for the first time and again after `waitedMs`. */
function decideAfter(waitedMs: number, view: SwitchView) {
  let nowMs = 0;
  const decider = createSwitchDecider(() => nowMs);
  const first = decider.decide(view);
  nowMs = waitedMs;
  return { first, decision: decider.decide(view) };
}

function decide(view: SwitchView) {
  return decideAfter(2_000, view).decision;
}

function listSwitching(members: readonly SwitchMember[], ownLoad: number) {
  return RANKED.map((_, rank) => rank).filter(
    (rank) => decide(createView(rank, members, { ownLoad })) === "switch",
  );
}

describe("switch decisions", () => {
  // Guards against exceeding the share of endpoints that may be unavailable.
  test("lets half of the endpoints switch at once, and a quarter when busy", () => {
    expect(listSwitching(OLD, 0)).toEqual([0, 1, 2, 3]);
    expect(listSwitching(OLD, BUSY)).toEqual([0, 1]);
    // Endpoints that are down or cold for another reason count as unavailable.
    expect(listSwitching(changeRanks([5, 6], DOWN), 0)).toEqual([0, 1]);
    expect(listSwitching(changeRanks([7], COLD), BUSY)).toEqual([0]);
  });

  // Guards against endpoints that wait for the slowest of a whole group.
  test("each endpoint that becomes warm lets the next one switch", () => {
    const one = changeRanks([0], SWITCHED);
    expect(listSwitching(one, 0)).toEqual([0, 1, 2, 3, 4]);
    expect(listSwitching(one, BUSY)).toEqual([0, 1, 2]);
    const cold = changeRanks([0], { ...SWITCHED, ...COLD });
    expect(listSwitching(cold, 0)).toEqual([0, 1, 2, 3]);
  });

  // Guards against a data centre without a warm endpoint.
  const others = RANKED.map((_, rank) => rank);
  const cases = [
    { name: "no other endpoint", rank: 0, warm: {}, up: [], wait: true },
    {
      name: "an endpoint of later rank",
      rank: 0,
      warm: {},
      up: [1],
      wait: false,
    },
    {
      name: "an endpoint of earlier rank",
      rank: 1,
      warm: {},
      up: [0],
      wait: true,
    },
    {
      name: "an endpoint that has switched",
      rank: 1,
      warm: SWITCHED,
      up: [0],
      wait: false,
    },
  ];
  test.each(cases)(
    "decides for one of two endpoints while $name is warm",
    ({ rank, warm, up, wait }) => {
      const down = others.filter((other) => !up.includes(other as never));
      const members = changeRanks(down, DOWN, changeRanks(others, warm));
      const hosts = RANKED.slice(0, 2);
      expect(decide(createView(rank, members, { hosts }))).toBe(
        wait ? "wait_for_warm" : "switch",
      );
    },
  );

  // Guards against a roll-out that waits forever for members that cannot
  // switch, and against one that stops waiting for those that can.
  const stalledCases = [
    {
      name: "members that are down",
      members: changeRanks([0, 1, 2, 3, 6], DOWN),
      rank: 4,
    },
    {
      name: "cold members without traffic",
      members: changeRanks([0, 1, 2, 3], { ...SWITCHED, ...COLD }),
      rank: 7,
    },
    {
      name: "members that never get the weights",
      members: changeRanks([0, 1, 2, 3], { isTargetComplete: false }),
      rank: 4,
    },
  ];
  test.each(stalledCases)(
    "stops waiting for $name after a timeout",
    ({ members, rank }) => {
      const view = createView(rank, members);
      expect(decideAfter(59_999, view).decision).toBe("wait_for_warm");
      expect(decideAfter(60_000, view).decision).toBe("switch");
      const recentTarget = { ...view, targetAgeMs: 59_999 };
      expect(decideAfter(60_000, recentTarget).decision).toBe("wait_for_warm");
      const last = createView(7, OLD);
      expect(decideAfter(999_999, last).decision).toBe("wait_for_warm");
    },
  );

  // Guards against ignoring members while others still make progress.
  test("progress of other members restarts the timeout", () => {
    let nowMs = 0;
    const decider = createSwitchDecider(() => nowMs);
    const members = changeRanks([0, 1, 2, 3], { isTargetComplete: false });
    decider.decide(createView(4, members));
    nowMs = 59_000;
    const cold = { ...SWITCHED, ...COLD };
    const view = createView(4, changeRanks([0], cold, members));
    expect(decider.decide(view)).toBe("wait_for_warm");
    nowMs = 118_999;
    expect(decider.decide(view)).toBe("wait_for_warm");
    nowMs = 119_000;
    expect(decider.decide(view)).toBe("switch");
  });

  // Guards against two agents that rely on each other because one still decides
  // for the previous target or has only just become able to switch.
  test("waits until the others know that it may switch", () => {
    const recentTarget = createView(0, OLD, { targetAgeMs: 999 });
    expect(decideAfter(10, recentTarget).decision).toBe("wait_for_view");
    const readyEarly = createView(0, OLD, { targetAgeMs: 29_000 });
    expect(decideAfter(0, readyEarly).first).toBe("switch");
    const readyLate = createView(0, OLD, { targetAgeMs: 31_000 });
    expect(decideAfter(999, readyLate)).toEqual({
      first: "wait_for_view",
      decision: "wait_for_view",
    });
    expect(decideAfter(1_000, readyLate).decision).toBe("switch");
  });

  // Guards against a single endpoint that never gets a new version, and against
  // empty endpoints that wait for others.
  test("a single endpoint and one that serves nothing switch at once", () => {
    const decider = createSwitchDecider(() => 0);
    const single = { ...createView(0, []), hosts: [RANKED[0]!] };
    expect(decider.decide(single)).toBe("switch");
    const empty = createView(7, OLD, { ownState: "none", targetAgeMs: 0 });
    expect(decider.decide(empty)).toBe("switch");
  });
});

describe("number of endpoints that must stay", () => {
  // Guards against a roll-out that removes capacity that requests need, and
  // against one that never ends because the data centre is busy.
  test.each([
    { endpoints: 2, load: 0, needed: 1 },
    { endpoints: 2, load: 9, needed: 1 },
    { endpoints: 3, load: 0, needed: 1 },
    { endpoints: 3, load: 0.6, needed: 2 },
    { endpoints: 5, load: 0.9, needed: 2 },
    { endpoints: 5, load: 1.1, needed: 3 },
    { endpoints: 5, load: 5, needed: 3 },
    { endpoints: 22, load: 2, needed: 11 },
    { endpoints: 22, load: 7, needed: 14 },
    { endpoints: 22, load: 20, needed: 16 },
    { endpoints: 1, load: 0, needed: 1 },
  ])(
    "$needed of $endpoints endpoints stay at load $load",
    ({ endpoints, load, needed }) => {
      expect(countNeededEndpoints({ endpoints, load })).toBe(needed);
    },
  );
});
