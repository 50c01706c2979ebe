import { describe, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import { SILENT_LOGGER } from "../node/testing/start_fleet.ts";
import { createSnapshotStore } from "./mod.ts";
import type { OfferedSnapshot } from "./mod.ts";

const NOW_MS = 1_000_000;

function createStore() {
  const registry = createRegistry();
  const store = createSnapshotStore("config", {
    parse(text) {
      if (text === "throw") throw new Error("fault");
      return text === "bad" ? err(["1:1: bad"]) : ok(text);
    },
    clock: { wallMs: () => NOW_MS, monotonicMs: () => 0 },
    registry,
    logger: SILENT_LOGGER,
  });
  const rejections = registry.counter("snapshot_rejections_total", "");
  return {
    store,
    countRejections: (reason: string) =>
      rejections.read({ topic: "config", reason }),
  };
}

function offer(version: number, text: string): OfferedSnapshot {
  const bytes = Buffer.from(text);
  return { version, bytes, publishedAtMs: 0, confirmedAtMs: NOW_MS };
}

describe("snapshot store", () => {
  // Guards against replacing the held value by an invalid or older one.
  test.each([
    { reason: "older_version", offered: offer(4, "four") },
    { reason: "conflicting_digest", offered: offer(5, "other") },
    { reason: "invalid_document", offered: offer(6, "bad") },
    { reason: "invalid_document", offered: offer(6, "throw") },
    { reason: "below_floor", offered: offer(8, "eight"), floor: 9 },
    { reason: "too_large", offered: offer(6, "x".repeat(3_000_000)) },
  ])("keeps the held value on $reason", ({ reason, offered, floor }) => {
    const { store, countRejections } = createStore();
    store.activate();
    store.offer(offer(5, "five"));
    store.raiseFloor(floor ?? 0);
    expect(store.offer(offered)._unsafeUnwrapErr()).toBe(reason);
    expect(countRejections(reason)).toBe(1);
    expect(store.held()?.value).toBe("five");
  });

  // Guards against a confirmation of one version that also counts for the next.
  test("a new version starts with its own confirmation time", () => {
    const { store } = createStore();
    store.offer(offer(1, "one"));
    expect(store.confirmedAtMs()).toBe(NOW_MS);
    store.offer({ ...offer(2, "two"), confirmedAtMs: 7 });
    expect(store.confirmedAtMs()).toBe(7);
    store.confirm(1, NOW_MS);
    expect(store.confirmedAtMs()).toBe(7);
  });

  // Guards against a peer whose fast clock confirms a version for hours ahead.
  test("clamps confirmation times in the future", () => {
    const { store } = createStore();
    store.offer(offer(1, "one"));
    store.confirm(1, NOW_MS + 3_600_000);
    expect(store.confirmedAtMs()).toBeLessThanOrEqual(NOW_MS + 2_000);
  });

  // Guards against a value in force before the startup version check ends.
  test("has no current value before it is activated", () => {
    const { store } = createStore();
    store.offer(offer(1, "one"));
    expect(store.current()).toBeUndefined();
    store.activate();
    expect(store.current()?.version).toBe(1);
  });
});
