import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { encodeFrame } from "../wire/mod.ts";
import type { HaveNotice, Peer } from "../wire/mod.ts";
import { createAnnouncer } from "./announcer.ts";

const DIGEST = `sha256:${"a".repeat(64)}`;
const NOTICE: HaveNotice = {
  topic: "have",
  manifestDigest: DIGEST,
  chunkCount: 512,
  bitmap: new Uint8Array(64).fill(0xff),
  servingDigest: DIGEST,
  phase: "warm",
  sentBytes: 1_000_000_000,
};
const BUDGET_BYTES_PER_S = 2_048;
/** Idle control traffic that does not depend on peers (docs/CAPACITY.md). */
const BASE_BYTES_PER_S = 251;
const PING_INTERVAL_S = 2;

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

function startAnnouncer(peerCount: number) {
  let sentBytes = 0;
  const peer = {
    sendNotice: (notice: HaveNotice) =>
      void (sentBytes += encodeFrame({ type: "notice", notice }).length),
  } as unknown as Peer;
  const announcer = createAnnouncer({
    buildNotice: () => NOTICE,
    listPeers: () => Array.from({ length: peerCount }, () => peer),
    nowMs: () => Date.now(),
  });
  return { announcer, sentBytes: () => sentBytes };
}

function countPingBytes(): number {
  const frames = (["ping", "pong"] as const).map((type) =>
    encodeFrame({ type, nonce: 0 }),
  );
  return Buffer.concat(frames).length;
}

describe("announcer", () => {
  // Guards against periodic notices that exceed the control traffic budget in
  // a data centre whose 32 agents are all connected to each other.
  test("idle refreshes to 31 peers stay within the control traffic budget", () => {
    const { announcer, sentBytes } = startAnnouncer(31);
    const seconds = 600;
    jest.advanceTimersByTime(seconds * 1000);
    announcer.close();
    const refreshBytesPerS = sentBytes() / seconds;
    const pingBytesPerS = (31 * countPingBytes()) / PING_INTERVAL_S;
    expect(refreshBytesPerS).toBeGreaterThan(0);
    expect(BASE_BYTES_PER_S + pingBytesPerS + refreshBytesPerS).toBeLessThan(
      BUDGET_BYTES_PER_S,
    );
  });

  // Guards against a change that is sent only with the next periodic notice.
  test("sends a change without waiting for a refresh, and nothing after close", () => {
    const { announcer, sentBytes } = startAnnouncer(1);
    announcer.scheduleAnnouncement();
    jest.advanceTimersByTime(100);
    const once = sentBytes();
    expect(once).toBeGreaterThan(0);
    announcer.scheduleAnnouncement();
    announcer.close();
    announcer.scheduleAnnouncement();
    jest.advanceTimersByTime(60_000);
    expect(sentBytes()).toBe(once);
  });
});
