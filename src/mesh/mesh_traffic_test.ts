import { afterEach, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createWireCounters } from "../wire/mod.ts";
import { findPorts } from "../../stand_ins/free_ports.ts";
import { startMesh } from "./mod.ts";
import type { Mesh } from "./mod.ts";

/** Control traffic that a node may cause (docs/CAPACITY.md). */
const CONTROL_BYTES_PER_S = 2_000;
const ENTRIES = 5;
const AGENTS = 19;
const WATCHED_S = 3;

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
    role: index < ENTRIES ? "entry" : "agent",
    dataCentre: `dc-${index % 3}`,
    service: index < ENTRIES ? undefined : "pool",
    peerAddress: `127.0.0.1:${ports[index]}`,
    seeds: ports.slice(0, 3).map((port) => `127.0.0.1:${port}`),
    readDocument: () => undefined,
    registry,
    logger: SILENT_LOGGER,
  });
  // Agents exchange weights with each other, as in a fleet of this size.
  if (index >= ENTRIES) mesh.addPeerChooser((view) => view.hosts().hosts);
  nodes.push({ mesh, registry });
}

function countMemberBytes(): number {
  return nodes
    .flatMap(({ registry }) => createWireCounters(registry).bytesSent.samples())
    .filter(({ labels }) => labels["purpose"] === "members")
    .reduce((sum, { value }) => sum + value, 0);
}

function isConnected(count: number): boolean {
  return nodes.every(({ mesh }) => mesh.peers().length === count - 1);
}

async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await wait(20);
}

function wait(ms: number) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

// Guards against lists of all members that flood the links between regions
// each time a host is added: changes of the configuration came late, and
// cancelled calls went on (incident of 2026-12-04).
test("hosts that join cost each node no more than its share of control traffic", async () => {
  const count = ENTRIES + AGENTS;
  const ports = await findPorts(count + 2);
  for (let index = 0; index < count; index += 1) await start(index, ports);
  await waitUntil(() => isConnected(count));
  await wait(500);
  const before = countMemberBytes();
  await start(count, ports);
  await start(count + 1, ports);
  await waitUntil(() => isConnected(count + 2));
  await wait(WATCHED_S * 1_000);
  const spent = countMemberBytes() - before;
  expect(spent / nodes.length).toBeLessThan(CONTROL_BYTES_PER_S * WATCHED_S);
}, 30_000);
