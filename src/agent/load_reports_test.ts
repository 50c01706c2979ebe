import { describe, expect, test } from "@jest/globals";
import type { Notice, Peer, Phase } from "../wire/mod.ts";
import { createLoadReports } from "./load_reports.ts";

/** Number of notices in 10 s with an update every 10 ms. */
function countNotices(read: (index: number) => [Phase, number]): number {
  let index = 0;
  const sent: Notice[] = [];
  const peer = {
    hello: { role: "entry" },
    sendNotice: (notice: Notice) => void sent.push(notice),
  } as unknown as Peer;
  const reports = createLoadReports({
    read() {
      const [phase, inFlight] = read(index);
      return { service: "s", phase, inFlight, queued: 0, limit: 32 };
    },
    peers: () => [peer],
    monotonicMs: () => index * 10,
  });
  for (; index < 1_000; index += 1) reports.update();
  reports.close();
  return sent.length;
}

describe("load reports", () => {
  // Guards against reports that exhaust the control traffic limit of entries,
  // and against gaps that make the agent look dead.
  test.each<[string, (index: number) => [Phase, number], number]>([
    ["without a change", () => ["warm", 0], 2],
    ["with small changes", (index) => ["warm", index % 3], 10],
    ["with large changes", (index) => ["warm", (index % 2) * 9], 40],
    ["with phase changes", (index) => [index % 2 ? "warm" : "cold", 0], 40],
  ])("%s are sent at their interval", (_name, read, limit) => {
    const count = countNotices(read);
    expect(count).toBeLessThanOrEqual(limit);
    expect(count).toBeGreaterThanOrEqual(limit * 0.9);
  });
});
