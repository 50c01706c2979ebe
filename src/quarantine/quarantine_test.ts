import { describe, expect, test } from "@jest/globals";
import { createQuarantine } from "./mod.ts";

function create() {
  let nowMs = 1_000_000;
  const quarantine = createQuarantine({ wallMs: () => nowMs });
  return { quarantine, advance: (ms: number) => void (nowMs += ms) };
}

describe("quarantine", () => {
  // Guards against a quarantine after a single crash, and one that never ends.
  test("starts after crashes at two endpoints and ends after ten minutes", () => {
    const { quarantine, advance } = create();
    quarantine.recordCrash("f", "h1");
    quarantine.recordCrash("f", "h1");
    expect(quarantine.remainingMs("f")).toBe(0);
    expect(quarantine.isSuspect("f")).toBe(true);
    advance(60_000);
    quarantine.recordCrash("f", "h2");
    expect(quarantine.remainingMs("f")).toBe(540_000);
    expect(quarantine.remainingMs("g")).toBe(0);
    advance(540_000);
    expect(quarantine.remainingMs("f")).toBe(0);
  });

  // Guards against notices that circulate endlessly or last too long.
  test("reports a notice as new only once and limits its expiry", () => {
    const { quarantine, advance } = create();
    const notice = {
      topic: "crash" as const,
      fingerprint: "f",
      endpoint: "h1",
      expiresAtMs: 1e15,
    };
    expect(quarantine.applyNotice(notice)).toBe(true);
    expect(quarantine.applyNotice(notice)).toBe(false);
    expect(quarantine.listNotices()).toHaveLength(1);
    advance(600_001);
    expect(quarantine.listNotices()).toHaveLength(0);
    expect(quarantine.applyNotice({ ...notice, expiresAtMs: 1 })).toBe(false);
  });

  // Guards against memory that grows with the number of crashes.
  test("holds at most 1,000 fingerprints", () => {
    const { quarantine } = create();
    Array.from({ length: 1_100 }, (_, i) =>
      quarantine.recordCrash(`f${i}`, "h1"),
    );
    expect(quarantine.size()).toBe(1_000);
    expect(quarantine.isSuspect("f1099")).toBe(true);
    expect(quarantine.isSuspect("f0")).toBe(false);
  });
});
