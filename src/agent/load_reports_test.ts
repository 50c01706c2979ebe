import { describe, expect, test } from "@jest/globals";
import type { Notice, Peer, Phase } from "../wire/mod.ts";
import { createLoadReports } from "./load_reports.ts";

/** Number of notices in 10 s with an update every 10 ms. */
function countNotices(read: (updateIndex: number) => [Phase, number]): number {
  let turn = 0;
  const sent: Notice[] = [];
  const peer = {
    hello: { role: "entry" },
    sendNotice: (notice: Notice) => void sent.push(notice),
  } as unknown as Peer;
  const reports = createLoadReports({
    read() {
      const [phase, inFlight] = read(turn);
      return { service: "s", phase, inFlight, queued: 0, limit: 32 };
    },
    peers: () => [peer],
    monotonicMs: () => turn * 10,
  });
  for (; turn < 1_000; turn += 1) reports.update();
  reports.close();
  return sent.length;
}

describe("load reports", () => {
  // Guards against reports that exhaust the control traffic limit of entries,
  // and against gaps that make the agent look dead.
  test.each<[string, (turn: number) => [Phase, number], number]>([
    ["without a change", () => ["warm", 0], 2],
    ["with small changes", (turn) => ["warm", turn % 3], 10],
    ["with large changes", (turn) => ["warm", (turn % 2) * 9], 40],
    ["with phase changes", (turn) => [turn % 2 ? "warm" : "cold", 0], 40],
  ])("%s are sent at their interval", (_name, read, limit) => {
    const count = countNotices(read);
    expect(count).toBeLessThanOrEqual(limit);
    expect(count).toBeGreaterThanOrEqual(limit * 0.9);
  });
});
