/**
 * Measures how a configuration change reaches N nodes in this process over
 * loopback TCP, with a stand-in platform: the time until it is in force on all
 * nodes, and the bytes that nodes send during the change and when idle. All
 * nodes share one event loop, so each node's times include the others' work.
 */

import { createHash } from "node:crypto";
import { Command } from "commander";
import type { Node } from "../src/node/mod.ts";
import { startFleet, waitUntil } from "../src/node/testing/start_fleet.ts";
import type { Fleet } from "../src/node/testing/start_fleet.ts";

const SIZES = [8, 16, 32, 64];
const DATA_CENTRES = 3;
const CHANGES = 20;
const DOCUMENT_BYTES = 20_000;
/** A multiple of the watch's interval of 10 s, so that reads count evenly. */
const IDLE_MS = 20_000;
/** Time after a change in which late pulls still count as part of it. */
const SETTLE_MS = 300;

interface Measurement {
  readonly nodes: number;
  readonly changes: number;
  readonly document_bytes: number;
  readonly in_force_ms_p50: number;
  readonly in_force_ms_max: number;
  /** Includes pings and probes sent during the change window. */
  readonly change_sent_bytes_per_node: number;
  readonly change_window_ms: number;
  readonly idle_sent_bytes_per_s_per_node: number;
  readonly idle_sent_bytes_per_s_max_node: number;
  readonly idle_platform_reads_per_s: number;
  readonly platform_reads_per_change: number;
}

const command = new Command("measure_config")
  .description("Measures the propagation of configuration changes")
  .option("--json", "print one JSON line")
  .option("--seed <number>", "seed of the generated documents", "1")
  .parse();
const { json, seed } = command.opts<{ json?: boolean; seed: string }>();

const measurements: Measurement[] = [];
for (const size of SIZES) {
  const measurement = await measure(size);
  measurements.push(measurement);
  if (!json) console.table(measurement);
}
if (json) {
  console.log(
    JSON.stringify({ measure: "config", seed: Number(seed), measurements }),
  );
}

async function measure(size: number): Promise<Measurement> {
  const fleet = await startFleet({
    names: Array.from({ length: size }, (_, i) => `host-${i}`),
    dataCentreOf: (name) => `d${Number(name.slice(5)) % DATA_CENTRES}`,
  });
  const { nodes } = fleet;
  fleet.platform.publish(createDocument(0));
  await waitUntil(() => isInForce(fleet, 1));
  // Duplicate connections opened at the start are closed within this time.
  await delay(3_000);
  const idle = await measureIdle(fleet);
  const changes = [];
  for (let change = 1; change <= CHANGES; change++) {
    changes.push(await measureChange(fleet, change));
  }
  await fleet.close();
  const times = changes.map((c) => c.inForceMs).sort((a, b) => a - b);
  return {
    nodes: nodes.length,
    changes: CHANGES,
    document_bytes: DOCUMENT_BYTES,
    in_force_ms_p50: round(times[Math.floor(times.length / 2)]!),
    in_force_ms_max: round(times.at(-1)!),
    change_sent_bytes_per_node: round(mean(changes.map((c) => c.bytes)) / size),
    change_window_ms: round(mean(changes.map((c) => c.windowMs))),
    ...idle,
    platform_reads_per_change: round(mean(changes.map((c) => c.reads))),
  };
}

async function measureIdle({ nodes, platform }: Fleet) {
  const before = nodes.map(countSent);
  const readsBefore = platform.countReads();
  const startedAtMs = performance.now();
  await delay(IDLE_MS);
  const seconds = (performance.now() - startedAtMs) / 1000;
  const rates = nodes.map((n, i) => (countSent(n) - before[i]!) / seconds);
  const reads = platform.countReads() - readsBefore;
  return {
    idle_sent_bytes_per_s_per_node: round(mean(rates)),
    idle_sent_bytes_per_s_max_node: round(Math.max(...rates)),
    idle_platform_reads_per_s: round(reads / seconds),
  };
}

async function measureChange(fleet: Fleet, change: number) {
  const { nodes, platform } = fleet;
  const before = sum(nodes.map(countSent));
  const readsBefore = platform.countReads();
  const startedAtMs = performance.now();
  const version = platform.publish(createDocument(change));
  const inForceMs = await waitUntil(() => isInForce(fleet, version));
  await delay(SETTLE_MS);
  return {
    inForceMs,
    windowMs: performance.now() - startedAtMs,
    bytes: sum(nodes.map(countSent)) - before,
    reads: platform.countReads() - readsBefore,
  };
}

function isInForce({ nodes }: Fleet, version: number): boolean {
  return nodes.every((node) => node.view.config()?.version === version);
}

function countSent(node: Node): number {
  const counter = node.registry.counter("peer_sent_bytes_total", "");
  return sum(counter.samples().map((sample) => sample.value));
}

/** Lines of hexadecimal digits; each change rewrites one line. */
function createDocument(change: number): string {
  const lineCount = DOCUMENT_BYTES / 40;
  const lastChanges = new Map<number, number>();
  for (let i = 1; i <= change; i++) lastChanges.set((i * 7919) % lineCount, i);
  const lines = Array.from({ length: lineCount }, (_, i) => {
    const source = `${seed} ${i} ${lastChanges.get(i) ?? 0}`;
    return createHash("sha1").update(source).digest("hex").slice(0, 39);
  });
  return lines.join("\n");
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function mean(values: readonly number[]): number {
  return sum(values) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
