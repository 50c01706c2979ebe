import { describe, expect, test } from "@jest/globals";
import { chooseNeighbours, chooseWatchers } from "./mod.ts";
import type { Host } from "./mod.ts";

const DATA_CENTRES = ["d1", "d2", "d3"];
const HOSTS: readonly Host[] = DATA_CENTRES.flatMap((dataCentre) =>
  Array.from({ length: 40 }, (_, i) => ({
    name: `${dataCentre}-${i}`,
    role: "endpoint" as const,
    dataCentre,
    peerAddress: "127.0.0.1:1",
    state: i % 10 === 0 ? ("leaving" as const) : ("live" as const),
  })),
);

function toLocalHost({ name, dataCentre }: Host) {
  return { host: name, dataCentre };
}

/** Hosts reachable from the first one over neighbours in either direction. */
function countReached(hosts: readonly Host[]): number {
  const links = new Map<string, string[]>(hosts.map((h) => [h.name, []]));
  hosts.forEach((host) =>
    chooseNeighbours(toLocalHost(host), HOSTS).forEach(({ name }) => {
      if (!links.has(name)) return;
      links.get(host.name)!.push(name);
      links.get(name)!.push(host.name);
    }),
  );
  const reached = new Set<string>();
  const pending = [hosts[0]!.name];
  while (pending.length > 0) {
    const name = pending.pop()!;
    if (reached.has(name)) continue;
    reached.add(name);
    pending.push(...links.get(name)!);
  }
  return reached.size;
}

describe("choice of peers", () => {
  // Guards against a data centre with no watchers, or with too many.
  test("has three live watchers in each data centre", () => {
    const live = HOSTS.filter((host) => host.state === "live");
    DATA_CENTRES.forEach((dataCentre) => {
      const watchers = live.filter(
        (host) =>
          host.dataCentre === dataCentre &&
          chooseWatchers(toLocalHost(host), HOSTS).includes(host.name),
      );
      expect(watchers).toHaveLength(3);
    });
  });

  // Guards against hosts that choose themselves or leaving hosts.
  test("chooses four other live neighbours, two in the same data centre", () => {
    HOSTS.forEach((host) => {
      const chosen = chooseNeighbours(toLocalHost(host), HOSTS);
      expect(new Set(chosen.map(({ name }) => name)).size).toBe(4);
      expect(chosen.every(({ state }) => state === "live")).toBe(true);
      expect(chosen).not.toContain(host);
      const local = chosen.filter((n) => n.dataCentre === host.dataCentre);
      expect(local).toHaveLength(2);
    });
  });

  // Guards against hosts that no change reaches, in the whole fleet or in a
  // data centre that is partitioned from the others.
  test("connects all live hosts, and those of each data centre", () => {
    const live = HOSTS.filter((host) => host.state === "live");
    expect(countReached(live)).toBe(live.length);
    DATA_CENTRES.forEach((dataCentre) => {
      const part = live.filter((host) => host.dataCentre === dataCentre);
      expect(countReached(part)).toBe(part.length);
    });
  });
});
