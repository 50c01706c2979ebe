import { afterEach, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createHandlers } from "../node/handlers.ts";
import {
  createWireCounters,
  encodeFrame,
  MAX_FRAME_BYTES,
} from "../wire/mod.ts";
import type { Notice, Peer } from "../wire/mod.ts";
import { findFreePorts } from "../../stand_ins/free_ports.ts";
import { startMesh } from "./mod.ts";
import type { Mesh } from "./mod.ts";
import { createMemberList } from "./members.ts";
import { startMemberGossip } from "./member_gossip.ts";

/** Limit of the control traffic of a node (docs/CAPACITY.md). */
const MAX_CONTROL_BYTES_PER_S = 2_000;
const ENTRY_COUNT = 5;
const AGENT_COUNT = 19;
const MEASURED_S = 3;

interface Node {
  readonly mesh: Mesh;
  readonly registry: Registry;
}

const nodes: Node[] = [];

afterEach(() => Promise.all(nodes.splice(0).map(({ mesh }) => mesh.close())));

async function start(index: number, ports: readonly number[]) {
  const registry = createRegistry();
  const mesh = await startMesh({
    host: `node-${index}`,
    role: index < ENTRY_COUNT ? "entry" : "agent",
    dataCentre: `dc-${index % 3}`,
    service: index < ENTRY_COUNT ? undefined : "pool",
    peerAddress: `127.0.0.1:${ports[index]}`,
    seeds: ports.slice(0, 3).map((port) => `127.0.0.1:${port}`),
    readConfig: () => undefined,
    registry,
    logger: SILENT_LOGGER,
  });
  // Agents of a fleet of this size are all connected, to exchange weights.
  if (index >= ENTRY_COUNT) {
    mesh.addPeerChooser((view) =>
      view.hosts().hosts.filter(({ role }) => role === "endpoint"),
    );
  }
  nodes.push({ mesh, registry });
}

function countMemberNoticeBytes(): number {
  return nodes
    .flatMap(({ registry }) => createWireCounters(registry).bytesSent.samples())
    .filter(({ labels }) => labels["purpose"] === "members")
    .reduce((sum, { value }) => sum + value, 0);
}

function isConnected(count: number): boolean {
  return nodes.every(({ mesh }) => mesh.peers().length === count - 1);
}

const CONNECT_LIMIT_MS = 15_000;

async function waitUntil(isTrue: () => boolean) {
  const endMs = performance.now() + CONNECT_LIMIT_MS;
  while (!isTrue() && performance.now() < endMs) await wait(20);
  expect(isTrue()).toBe(true);
}

function wait(ms: number) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against full member lists that saturate the links between regions
// whenever a host is added: configuration changes came late, and cancelled
// calls kept running (incident of 2026-12-04).
test("joining hosts keep each node within its control traffic limit", async () => {
  const count = ENTRY_COUNT + AGENT_COUNT;
  const ports = await findFreePorts(count + 2);
  for (let index = 0; index < count; index += 1) await start(index, ports);
  await waitUntil(() => isConnected(count));
  await wait(500);
  const bytesBefore = countMemberNoticeBytes();
  await start(count, ports);
  await start(count + 1, ports);
  await waitUntil(() => isConnected(count + 2));
  await wait(MEASURED_S * 1_000);
  const sentBytes = countMemberNoticeBytes() - bytesBefore;
  expect(sentBytes / nodes.length).toBeLessThan(
    MAX_CONTROL_BYTES_PER_S * MEASURED_S,
  );
}, 45_000);

// Guards against a list that exceeds the frame limit: the frame would be
// dropped, and a host that joins a fleet of the planned size would learn of no
// other.
test("a list of 4,100 members reaches the process that requests it", () => {
  const self = {
    host: "self",
    role: "entry" as const,
    dataCentre: "kolkata-a",
    peerAddress: "10.1.0.1:8688",
  };
  const members = createMemberList(self, () => 0);
  const others = Array.from({ length: 4_100 }, (_, index) => ({
    ...self,
    host: `side-kolkata-a-${index}`,
    service: "assistant-models",
    peerAddress: `10.${index % 250}.64.12:8688`,
    silentMs: 1_234.5678,
  }));
  members.merge(others);
  const handlers = createHandlers(createRegistry(), SILENT_LOGGER);
  const gossip = startMemberGossip({
    selfHost: self.host,
    role: self.role,
    members,
    listPeers: () => [],
    listSubscribers: () => [],
    handlers,
    onChange: () => undefined,
    logger: SILENT_LOGGER,
    random: Math.random,
  });
  const sent: Notice[] = [];
  const peer = {
    hello: { host: "asks", role: "agent" },
    sendNotice: (notice: Notice) => void sent.push(notice),
  } as unknown as Peer;
  handlers.dispatchNotice(peer, { topic: "members_ask" });
  gossip.close();
  const sizes = sent.map(
    (notice) => encodeFrame({ type: "notice", notice }).length,
  );
  expect(Math.max(...sizes)).toBeLessThan(MAX_FRAME_BYTES);
  const received = sent.flatMap((notice) =>
    notice.topic === "members" ? notice.members : [],
  );
  expect(new Set(received.map(({ host }) => host)).size).toBe(4_101);
});
