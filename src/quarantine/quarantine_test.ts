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

  // Guards against a request that is let through again and again: what a gateway
  // records is never confirmed, and its records expire one by one.
  test("lasts from the latest crash, and far longer after a repetition", () => {
    const { quarantine, advance } = create();
    quarantine.recordLikelyCrash("f", "h1");
    advance(20_000);
    quarantine.recordLikelyCrash("f", "h2");
    expect(quarantine.remainingMs("f")).toBe(30_000);
    advance(30_000);
    expect(quarantine.remainingMs("f")).toBe(0);
    const notice = quarantine.recordLikelyCrash("f", "h1");
    expect(quarantine.remainingMs("f")).toBe(600_000);
    // A process that has seen no quarantine counts from the start.
    const other = create().quarantine;
    other.applyNotice(notice);
    expect(other.remainingMs("f")).toBe(0);
  });

  test("is repeated only for ten minutes after its end", () => {
    const { quarantine, advance } = create();
    quarantine.recordLikelyCrash("f", "h1");
    quarantine.recordLikelyCrash("f", "h2");
    advance(630_001);
    quarantine.recordLikelyCrash("f", "h1");
    expect(quarantine.remainingMs("f")).toBe(0);
  });

  // Guards against a sound request that is refused for long because endpoints
  // crashed while they ran it.
  test("is forgotten once the request has been answered after it", () => {
    const { quarantine, advance } = create();
    quarantine.recordLikelyCrash("f", "h1");
    quarantine.recordLikelyCrash("f", "h2");
    quarantine.recordSurvival("f");
    expect(quarantine.remainingMs("f")).toBe(30_000);
    advance(30_000);
    quarantine.recordSurvival("f");
    quarantine.recordLikelyCrash("f", "h3");
    expect(quarantine.remainingMs("f")).toBe(0);
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
