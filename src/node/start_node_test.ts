import { afterEach, describe, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { SYSTEM_CLOCK } from "../membership/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type {
  OpenHead,
  Peer,
  SnapshotReply,
  Stream,
  StreamEvent,
} from "../wire/mod.ts";
import type { Node } from "./node.ts";
import { createUuidV7 } from "../uuid/mod.ts";
import {
  SILENT_LOGGER,
  startFleet,
  waitUntil,
  toHost,
} from "./testing/start_fleet.ts";
import type { Fleet, FleetOptions } from "./testing/start_fleet.ts";

const NAMES = ["a", "b", "c", "d", "e", "f"];
/** Limit for recovery from lost announcements and partitions. */
const RECOVERY_LIMIT_MS = 5_000;
const fleets: Fleet[] = [];

afterEach(async () => {
  await Promise.all(fleets.splice(0).map((fleet) => fleet.close()));
});

async function start(options: Partial<FleetOptions> = {}) {
  const fleet = await startFleet({ names: NAMES, ...options });
  fleets.push(fleet);
  return fleet;
}

/** Starts a fleet in which this version is in force on every node. */
async function startAt(version: number, options: Partial<FleetOptions> = {}) {
  const fleet = await start(options);
  fleet.platform.publishAs(version, `v${version}`);
  await waitUntil(() => isEverywhere(fleet.nodes, version));
  return fleet;
}

function getVersion(node: Node): number {
  return node.view.config()?.version ?? 0;
}

function isEverywhere(nodes: readonly Node[], version: number): boolean {
  return nodes.every((node) => getVersion(node) === version);
}

function isWatching(node: Node): boolean {
  return /^zinniaspur_platform_watching 1$/m.test(node.registry.render());
}

function countRejections(node: Node, reason: string): number {
  const counter = node.registry.counter("snapshot_rejections_total", "");
  return counter.read({ topic: "config", reason });
}

function countConfigReads(node: Node): number {
  const counter = node.registry.counter("platform_reads_total", "");
  return counter.read({ topic: "config" });
}

/** Drops the notices sent on these connections, without an error. */
function dropNotices(peers: readonly (Peer | undefined)[]) {
  let droppedCount = 0;
  const undo = peers.map((peer) => {
    if (peer === undefined) return () => undefined;
    const { sendNotice } = peer;
    Object.assign(peer, { sendNotice: () => void droppedCount++ });
    return () => void Object.assign(peer, { sendNotice });
  });
  return {
    countDropped: () => droppedCount,
    stop: () => undo.forEach((restore) => restore()),
  };
}

/** Opens a stream whose frames never arrive on either side. */
function openStalledStream() {
  const stream = {
    end: () => undefined,
    reset: () => undefined,
    read: () => new Promise(() => undefined),
  };
  return ok(stream as unknown as Stream);
}

function corruptDigests(peer: Peer) {
  const { openStream } = peer;
  async function readCorrupt(stream: Stream): Promise<StreamEvent> {
    const event = await stream.read();
    if (event.type !== "message") return event;
    const digest = "0".repeat(64);
    return { ...event, message: { ...event.message, digest } as SnapshotReply };
  }
  Object.assign(peer, {
    openStream: (head: OpenHead) =>
      openStream(head).map((stream) => ({
        ...stream,
        read: () => readCorrupt(stream),
      })),
  });
  return () => void Object.assign(peer, { openStream });
}

function createMovableClock() {
  let offsetMs = 0;
  return {
    wallMs: () => Date.now() + offsetMs,
    monotonicMs: () => performance.now() + offsetMs,
    skip: (ms: number) => void (offsetMs += ms),
  };
}

describe("configuration in a fleet", () => {
  // Guards against a change that reaches the watchers only.
  test("puts a change in force on every node", async () => {
    const { platform, nodes } = await startAt(1);
    expect(nodes.filter(isWatching)).toHaveLength(3);
    platform.publish("two");
    await waitUntil(() => isEverywhere(nodes, 2), RECOVERY_LIMIT_MS);
    expect(nodes[0]!.view.config()?.document.environment).toBe("two");
  });

  // Guards against reads by every process, a load that the platform cannot serve.
  test("reads the platform through watchers only", async () => {
    const { platform, nodes } = await startAt(1);
    const before = platform.countReads();
    platform.publish("two");
    await waitUntil(() => isEverywhere(nodes, 2), RECOVERY_LIMIT_MS);
    // Three watchers renew their watch of the configuration.
    expect(platform.countReads() - before).toBeLessThanOrEqual(3);
  });

  // Guards against a rejected document that blocks later ones or is not reported.
  test("keeps the previous version when a document is invalid", async () => {
    const lines: string[] = [];
    const warn = (record: object) => lines.push(JSON.stringify(record));
    const logger = { ...SILENT_LOGGER, warn } as unknown as Logger;
    const { platform, nodes } = await startAt(1, { nodeOptions: { logger } });
    platform.publish("invalid");
    await waitUntil(
      () =>
        nodes.filter((n) => countRejections(n, "invalid_document") > 0)
          .length >= 3,
    );
    expect(isEverywhere(nodes, 1)).toBe(true);
    expect(lines.join()).toContain(
      "config:1:1: environment: Not a document. Fix: Write one",
    );
    const rejecting = nodes.find(
      (n) => n.view.rejectedConfig?.() !== undefined,
    );
    expect(rejecting?.view.rejectedConfig?.()).toMatchObject({
      version: 2,
      findings: [{ path: "environment", message: "Not a document" }],
    });
    platform.publish("three");
    await waitUntil(() => isEverywhere(nodes, 3), RECOVERY_LIMIT_MS);
    expect(rejecting?.view.rejectedConfig?.()).toBeUndefined();
  });

  // Guards against an agent that uses an older version than its engine has seen.
  test("hides and rejects versions below the floor", async () => {
    const { platform, nodes } = await startAt(2);
    const watcher = nodes.find(isWatching)!;
    watcher.raiseConfigFloor(5);
    expect(watcher.view.config()).toBeUndefined();
    platform.publishAs(4, "four");
    const others = nodes.filter((node) => node !== watcher);
    await waitUntil(() => isEverywhere(others, 4), RECOVERY_LIMIT_MS);
    expect(watcher.view.config()).toBeUndefined();
    platform.publishAs(5, "five");
    await waitUntil(() => isEverywhere(nodes, 5), RECOVERY_LIMIT_MS);
  });

  // Guards against a handler that throws and thereby blocks a change or stops
  // every process.
  test("runs the other handlers when one throws", async () => {
    const { platform, nodes } = await startAt(1);
    const node = nodes[0]!;
    const seen: number[] = [];
    node.view.onChange(() => {
      throw new Error("fault");
    });
    node.view.onChange(() => seen.push(getVersion(node)));
    platform.publish("two");
    await waitUntil(() => isEverywhere(nodes, 2), RECOVERY_LIMIT_MS);
    expect(seen).toContain(2);
    const failures = node.registry.counter("handler_failures_total", "");
    expect(failures.read({ handler: "view_change" })).toBeGreaterThan(0);
  });

  // Guards against requests handled with an older version than the entry's.
  test("fetches a newer version from the peer that names it", async () => {
    const { platform, nodes } = await startAt(1);
    const late = nodes.find((node) => !isWatching(node))!;
    const source = nodes.find(
      (node) => isWatching(node) && late.findPeer(node.identity.host),
    )!;
    const peer = late.findPeer(source.identity.host)!;
    platform.publish("two");
    await waitUntil(() => getVersion(source) === 2);
    await late.fetchConfig(peer, 2);
    expect(getVersion(late)).toBe(2);
  });
});

describe("confirmation", () => {
  // Guards against processes that read the platform although peers confirm the
  // version.
  test("is propagated from watchers to the others", async () => {
    const nodeOptions = { watchWaitMs: 1_100 };
    const { nodes } = await startAt(1, { nodeOptions });
    const others = nodes.filter((node) => !isWatching(node));
    const reads = others.map(countConfigReads);
    const startedAtMs = Date.now();
    await waitUntil(() =>
      others.every((n) => n.view.configConfirmedAtMs() > startedAtMs + 1_000),
    );
    expect(others.map(countConfigReads)).toEqual(reads);
  });
});

describe("clocks", () => {
  // Guards against a wrong clock that is not detected, and against one that
  // stops the other nodes.
  test("a node detects that its clock differs from its peers'", async () => {
    const { nodes, add } = await startAt(1, { names: ["a", "b", "c"] });
    const behind = { ...SYSTEM_CLOCK, wallMs: () => Date.now() - 2_000 };
    const late = await add("late", { clock: behind });
    await waitUntil(() => late.isClockSkewed());
    expect(nodes.map((node) => node.isClockSkewed())).toEqual(
      nodes.map((node) => node === late),
    );
  });
});

describe("faults", () => {
  // Guards against a return to a replaced version.
  test("ignores a platform that falls back to an older version", async () => {
    const { platform, nodes } = await startAt(2);
    platform.publishAs(1, "one");
    platform.setMode("stale");
    const watcher = nodes.find(isWatching)!;
    await waitUntil(() => countRejections(watcher, "older_version") > 1);
    expect(isEverywhere(nodes, 2)).toBe(true);
  });

  test.each(["error", "stalled"] as const)(
    // Guards against processes that cannot start while the platform is down.
    "starts from peers while the platform is in mode %s",
    async (mode) => {
      const fleet = await startAt(3);
      fleet.platform.setMode(mode);
      const seedPeers = [fleet.nodes[0]!.peerAddress];
      const node = await fleet.add("late", { seedPeers });
      await waitUntil(() => getVersion(node) === 3, RECOVERY_LIMIT_MS);
      expect(node.view.hosts().hosts).toHaveLength(NAMES.length);
    },
  );

  // Guards against a process that is ready without a configuration.
  test("has no configuration until a first read succeeds", async () => {
    const { platform, nodes, add } = await start({ names: [] });
    platform.setMode("error");
    const node = await add("alone");
    const failures = node.registry.counter("platform_read_failures_total", "");
    const labels = { topic: "config", reason: "status" };
    await waitUntil(() => failures.read(labels) > 2);
    expect(nodes[0]!.view.config()).toBeUndefined();
    platform.publish("one");
    platform.setMode("up");
    await waitUntil(() => getVersion(node) === 1);
  });

  // Guards against a process that uses a stale platform's version at the start.
  test("starts with its peers' newer version if the platform is stale", async () => {
    const fresh = await startAt(3);
    const stale = await start({ names: [] });
    stale.platform.publishAs(1, "old");
    const seen: number[] = [];
    const node = await stale.add("late", {
      seedPeers: fresh.nodes.slice(0, 3).map((n) => n.peerAddress),
    });
    node.view.onChange(() => seen.push(getVersion(node)));
    await waitUntil(() => getVersion(node) > 0, RECOVERY_LIMIT_MS);
    expect(seen.filter((version) => version > 0 && version < 3)).toEqual([]);
  });

  // Guards against a node that keeps an old version when an announcement is lost.
  test("recovers from a lost announcement", async () => {
    const { platform, nodes } = await startAt(1);
    const noticeLoss = dropNotices(nodes.flatMap((node) => node.peers()));
    platform.publish("two");
    const watchers = nodes.filter(isWatching);
    await waitUntil(
      () => isEverywhere(watchers, 2) && noticeLoss.countDropped() > 0,
    );
    expect(isEverywhere(nodes, 2)).toBe(false);
    noticeLoss.stop();
    await waitUntil(() => isEverywhere(nodes, 2), RECOVERY_LIMIT_MS);
  });

  // Guards against a change delayed by connections that stall without closing.
  test("pulls from another peer when two peers stall", async () => {
    const fleet = await startAt(1);
    const late = await fleet.add("late");
    await waitUntil(() => getVersion(late) === 1 && late.peers().length > 3);
    late
      .peers()
      .slice(0, 2)
      .forEach((peer) =>
        Object.assign(peer, { openStream: openStalledStream }),
      );
    fleet.platform.publish("two");
    await waitUntil(() => getVersion(late) === 2, RECOVERY_LIMIT_MS);
  });

  // Guards against a value that was corrupted in transit and put in force.
  test("rejects a value whose digest differs from the announced one", async () => {
    const fleet = await startAt(1);
    const late = await fleet.add("late");
    await waitUntil(() => getVersion(late) === 1 && late.peers().length > 3);
    const undo = late.peers().map(corruptDigests);
    fleet.platform.publish("two");
    await waitUntil(
      () => countRejections(late, "bad_digest") > 0,
      RECOVERY_LIMIT_MS,
    );
    expect(getVersion(late)).toBe(1);
    undo.forEach((restore) => restore());
    await waitUntil(() => getVersion(late) === 2, RECOVERY_LIMIT_MS);
  });

  // Guards against work accepted with the view from before a pause.
  test("has its peers' version when it resumes after a pause", async () => {
    const clock = createMovableClock();
    const fleet = await startAt(1);
    // Of these names, "late" is not a watcher.
    const late = await fleet.add("late", { clock });
    await waitUntil(() => getVersion(late) === 1 && late.peers().length > 3);
    const others = fleet.nodes.filter((node) => node !== late);
    dropNotices(others.map((node) => node.findPeer("late")));
    fleet.platform.publish("two");
    await waitUntil(() => isEverywhere(others, 2));
    expect([isWatching(late), getVersion(late)]).toEqual([false, 1]);
    clock.skip(3_000);
    expect(late.view.isRecoveringFromPause()).toBe(true);
    await waitUntil(() => !late.view.isRecoveringFromPause(), 2_500);
    expect(getVersion(late)).toBe(2);
  });

  // Guards against a fleet that stops when no peer or platform responds after a
  // pause.
  test("resumes after a pause when no peer or platform responds", async () => {
    const clock = createMovableClock();
    const fleet = await startAt(1, { names: ["a"], nodeOptions: { clock } });
    fleet.platform.setMode("stalled");
    const [node] = fleet.nodes;
    clock.skip(3_000);
    await waitUntil(() => !node!.view.isRecoveringFromPause());
    const checks = node!.registry.counter("wake_checks_total", "");
    expect(checks.read({ outcome: "limit" })).toBe(1);
    expect(getVersion(node!)).toBe(1);
  });

  // Guards against a value that silently replaces another of the same version.
  test("keeps its value when a peer has another for the same version", async () => {
    const one = await start({ names: ["a"] });
    const two = await start({ names: ["b"] });
    one.platform.publishAs(1, "first");
    two.platform.publishAs(1, "second");
    const [a, b] = [one.nodes[0]!, two.nodes[0]!];
    await waitUntil(() => isEverywhere([a, b], 1));
    one.platform.setHosts([a, b].map(toHost));
    await waitUntil(() => countRejections(b, "conflicting_digest") > 0);
    expect(a.view.config()?.document.environment).toBe("first");
    expect(b.view.config()?.document.environment).toBe("second");
    one.platform.publish("third");
    await waitUntil(() => isEverywhere([a, b], 2), RECOVERY_LIMIT_MS);
  });

  // Guards against two open connections, or none, after both sides dialled.
  test("keeps one connection when two nodes dial each other", async () => {
    const { nodes } = await start({ names: ["a", "b"] });
    const [a, b] = [nodes[0]!, nodes[1]!];
    await waitUntil(() => a.peers().length === 1 && b.peers().length === 1);
    // The smaller name's connection is the one that stays.
    expect(a.findPeer("b")!.remoteAddress).toBe(b.peerAddress);
  });

  // Guards against two active processes with one host name.
  test("replaces an earlier incarnation and notifies it", async () => {
    const nowMs = Date.now();
    const fleet = await start({ names: ["a"] });
    const earlier = await fleet.add("x", {
      incarnation: createUuidV7(nowMs - 60_000),
    });
    await waitUntil(() => fleet.nodes[0]!.findPeer("x") !== undefined);
    const replaced = new Promise<void>((resolve) => {
      earlier.onReplaced?.(resolve);
    });
    const later = await fleet.add("x", {
      incarnation: createUuidV7(nowMs),
    });
    await replaced;
    const { incarnation } = later.identity;
    await waitUntil(
      () => fleet.nodes[0]!.findPeer("x")?.hello.incarnation === incarnation,
    );
  });

  // Guards against hosts that keep an old version after a partition heals.
  test("catches up after a partition", async () => {
    const fleet = await startAt(1);
    const { platform, nodes } = fleet;
    const watchers = nodes.filter(isWatching);
    const others = nodes.filter((node) => !isWatching(node));
    fleet.partition(listNames(watchers), listNames(others));
    await waitUntil(() =>
      others.every((node) =>
        node
          .peers()
          .every((peer) => listNames(others).includes(peer.hello.host)),
      ),
    );
    platform.publish("two");
    await waitUntil(() => isEverywhere(watchers, 2));
    expect(isEverywhere(others, 1)).toBe(true);
    fleet.heal();
    await waitUntil(() => isEverywhere(nodes, 2), RECOVERY_LIMIT_MS);
  });

  // Guards against an isolated process that never reads the platform itself.
  test("reads the platform when nothing confirms the version", async () => {
    const fleet = await startAt(1, {
      nodeOptions: { confirmationTimeoutMs: 1_000 },
    });
    const isolated = fleet.nodes.find((node) => !isWatching(node))!;
    const { host } = isolated.identity;
    fleet.partition(
      [host],
      NAMES.filter((name) => name !== host),
    );
    fleet.platform.publish("two");
    await waitUntil(() => getVersion(isolated) === 2, RECOVERY_LIMIT_MS);
  });
});

// Guards against a failed start that leaves timers and reads running.
test.each([{ platformUrl: "not a URL" }, { peerAddress: "127.0.0.1:99999" }])(
  "rejects with %p",
  async (overrides) => {
    const fleet = await start({ names: [] });
    await expect(fleet.add("a", overrides)).rejects.toThrow();
  },
);

function listNames(nodes: readonly Node[]): readonly string[] {
  return nodes.map((node) => node.identity.host);
}

// Guards against gauges that are missing from the metrics.
test("exposes the gauges of the view", async () => {
  const registry = createRegistry();
  const { nodes } = await startAt(7, {
    names: ["a"],
    nodeOptions: { registry },
  });
  expect(getVersion(nodes[0]!)).toBe(7);
  const text = registry.render();
  expect(text).toContain("zinniaspur_config_version 7");
  expect(text).toMatch(/zinniaspur_config_confirmation_age_seconds [0-9.e-]+/);
  expect(text).toContain("zinniaspur_peers_connected 0");
});
