import { describe, expect, test } from "@jest/globals";
import { rankByHash } from "../hashing/mod.ts";
import { createSwitchOrder } from "./mod.ts";
import type { SwitchMember } from "./mod.ts";

const TARGET = "new";
const HOSTS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const RANKED = rankByHash(TARGET, HOSTS);

function createMember(host: string, servingDigest = "old"): SwitchMember {
  return { host, isServing: true, isWarm: true, servingDigest };
}

function createView(ownHost: string, members: readonly SwitchMember[]) {
  return {
    ownHost,
    targetDigest: TARGET,
    hosts: HOSTS,
    members: members.filter(({ host }) => host !== ownHost),
    ownState: "warm" as const,
  };
}

describe("switch order", () => {
  const old = HOSTS.map((host) => createMember(host));

  // Guards against more than a quarter of the endpoints loading at once.
  test("lets one group of a quarter switch at a time", () => {
    function decideAll(members: readonly SwitchMember[]) {
      return RANKED.filter(
        (host) =>
          createSwitchOrder(() => 0).decide(createView(host, members)) ===
          "switch",
      );
    }
    expect(decideAll(old)).toEqual(RANKED.slice(0, 2));
    const after = old.map(({ host }) =>
      RANKED.indexOf(host) < 2
        ? createMember(host, TARGET)
        : createMember(host),
    );
    expect(decideAll(after).slice(2)).toEqual(RANKED.slice(2, 4));
  });

  // Guards against a roll-out that waits forever for dead members, and against
  // all later groups starting together after the limit.
  test("gives each group before it 60 s", () => {
    let nowMs = 0;
    const order = createSwitchOrder(() => nowMs);
    const view = createView(RANKED[4]!, old);
    expect(order.decide(view)).toBe("wait_for_group");
    nowMs = 60_000;
    expect(order.decide(view)).toBe("wait_for_group");
    nowMs = 119_999;
    expect(order.decide(view)).toBe("wait_for_group");
    nowMs = 120_000;
    expect(order.decide(view)).toBe("switch");
  });

  // Guards against a data centre without a warm endpoint.
  const rest = RANKED.slice(2);
  const cold = rest.map((host) => ({
    host,
    isServing: false,
    isWarm: false,
  }));
  const [first, second] = RANKED as readonly [string, string];
  const cases = [
    { name: "nobody else is warm", own: first, members: cold, wait: true },
    {
      name: "the other of its group is warm and waits for it",
      own: first,
      members: [...cold, createMember(second)],
      wait: false,
    },
    {
      name: "the other of its group may switch first",
      own: second,
      members: [...cold, createMember(first)],
      wait: true,
    },
    {
      name: "the other of its group has switched",
      own: second,
      members: [...cold, createMember(first, TARGET)],
      wait: false,
    },
  ];
  test.each(cases)("keeps one warm: $name", ({ own, members, wait }) => {
    const decision = createSwitchOrder(() => 0).decide(
      createView(own, members),
    );
    expect(decision).toBe(wait ? "wait_for_warm" : "switch");
  });

  // Guards against a single endpoint that never gets a new version, and
  // against empty endpoints that wait for their turn.
  test("a single endpoint and one that serves nothing switch at once", () => {
    const order = createSwitchOrder(() => 0);
    const single = { ...createView("a", []), hosts: ["a"] };
    expect(order.decide(single)).toBe("switch");
    const empty = { ...createView(RANKED[7]!, old), ownState: "none" as const };
    expect(order.decide(empty)).toBe("switch");
  });
});
