/**
 * Measures how often gateways call the store, and how long after its
 * acknowledgement each of them knows a change, with real gateways on a stand-in
 * of the store. Endpoints renew their records as on the users' platform, so a
 * watch over everything ends many times a second.
 */

import { Command } from "commander";
import { parseRecords } from "../src/explain/mod.ts";
import { startPlatformFleet } from "../stand_ins/users_platform/mod.ts";
import type { PlatformFleet } from "../stand_ins/users_platform/mod.ts";
import { computePercentiles } from "./call_statistics.ts";
import { readUsage } from "./process_handle.ts";

/** Interval at which each endpoint renews its record. */
const HEARTBEAT_MS = 1_200;
/** Interval between the measured changes. */
const CHANGE_INTERVAL_MS = 700;
/** Connections between the gateways are open and their roles settled by then. */
const SETTLE_MS = 6_000;
const READY_POLL_MS = 50;
const TRAFFIC_MESSAGE = "traffic of the last second";
const DATA_CENTRES = ["kol-a", "sil-a", "bdn-a"];

const CHANGE_KINDS = ["weights", "drain", "config", "evacuation"] as const;
type ChangeKind = (typeof CHANGE_KINDS)[number];

/** Log lines that tell that a gateway knows a change. */
const KNOWN_BY: Readonly<Record<ChangeKind, string>> = {
  weights: "new weights named",
  drain: "endpoint listed",
  config: "configuration activated",
  evacuation: "evacuation state of a data centre changed",
};

interface PublishedChange {
  readonly kind: ChangeKind;
  readonly atMs: number;
  /** A field of the log line that belongs to the change has this value. */
  readonly value: unknown;
}

const { gateways, endpoints, duration } = new Command()
  .option("--gateways <n>", "number of gateways", "15")
  .option("--endpoints <n>", "number of endpoints in the store", "41")
  .option("--duration <s>", "time without changes, and with them", "20")
  .parse()
  .opts<{ gateways: string; endpoints: string; duration: string }>();

const fleet = await startPlatformFleet({
  gateways: Number(gateways),
  gatewayDataCentres: DATA_CENTRES,
  workers: [],
});
try {
  await waitUntilReady(fleet);
  const heartbeats = startHeartbeats(fleet, Number(endpoints));
  await wait(SETTLE_MS);
  const durationMs = Number(duration) * 1_000;
  const unchanged = await measure(fleet, () => wait(durationMs));
  const changed = await measure(fleet, () => publishChanges(fleet, durationMs));
  clearInterval(heartbeats);
  await wait(HEARTBEAT_MS);
  console.log(
    JSON.stringify({
      gateways: fleet.gateways.length,
      endpoints: Number(endpoints),
      unchanged: unchanged.usage,
      changed: { changes: changed.result.length, ...changed.usage },
      delayMs: describeDelays(fleet, changed.result),
    }),
  );
} finally {
  await fleet.close();
}

function wait(ms: number) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntilReady({ gateways: started }: PlatformFleet) {
  const isReady = (url: string) =>
    fetch(url).then(
      ({ status }) => status === 200,
      () => false,
    );
  for (;;) {
    const ready = await Promise.all(
      started.map(({ readyUrl }) => isReady(readyUrl)),
    );
    if (ready.every(Boolean)) return;
    await wait(READY_POLL_MS);
  }
}

async function measure<Result>(
  started: PlatformFleet,
  run: () => Promise<Result>,
) {
  const callsBefore = new Map(started.store.calls);
  const sinceMs = Date.now();
  const cpuBeforeS = readCpuS(started);
  const startedAtMs = performance.now();
  const result = await run();
  const durationS = (performance.now() - startedAtMs) / 1_000;
  const calls = [...started.store.calls].map(([name, count]) => [
    name,
    Number(((count - (callsBefore.get(name) ?? 0)) / durationS).toFixed(1)),
  ]);
  const cores =
    (readCpuS(started) - cpuBeforeS) / durationS / started.processes.length;
  return {
    result,
    usage: {
      callsPerS: Object.fromEntries(calls) as Record<string, number>,
      coresPerGateway: Number(cores.toFixed(4)),
      directoryBytesPerS: describeDirectoryBytes(started, sinceMs),
    },
  };
}

/** Bytes of the published state that gateways send each other. */
function describeDirectoryBytes(
  { gateways: started }: PlatformFleet,
  sinceMs: number,
) {
  const rates = started.map(({ logs }) => {
    const sent = parseRecords(logs())
      .records.filter(({ message }) => message === TRAFFIC_MESSAGE)
      .filter(({ time }) => Date.parse(time) > sinceMs)
      .map(({ fields }) => fields["sentBytes"] as Record<string, number>)
      .map((bytes) =>
        Object.entries(bytes)
          .filter(([purpose]) => purpose.startsWith("directory_"))
          .reduce((sum, [, count]) => sum + count, 0),
      );
    return sent.reduce((sum, count) => sum + count, 0) / sent.length;
  });
  const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
  return { mean: Math.round(mean), max: Math.round(Math.max(...rates)) };
}

function readCpuS({ processes }: PlatformFleet): number {
  return processes
    .map(({ child }) => readUsage(child.pid!).cpuS)
    .reduce((sum, cpuS) => sum + cpuS, 0);
}

function putEndpoint(
  started: PlatformFleet,
  index: number,
  fields: { readonly seq: number; readonly isDraining: boolean },
) {
  started.putEndpoint({
    id: `x${index}`,
    address: `127.0.0.1:${20_000 + index}`,
    dataCentre: DATA_CENTRES[index % DATA_CENTRES.length]!,
    version: 1,
    ...fields,
  });
}

function startHeartbeats(started: PlatformFleet, count: number) {
  let seq = 0;
  const renew = () => {
    putEndpoint(started, seq % count, { seq, isDraining: false });
    seq += 1;
  };
  return setInterval(renew, HEARTBEAT_MS / count);
}

/** Each change has a value of its own that the log lines repeat. */
async function publishChanges(
  started: PlatformFleet,
  durationMs: number,
): Promise<readonly PublishedChange[]> {
  const changes: PublishedChange[] = [];
  const endMs = Date.now() + durationMs;
  for (let step = 2; Date.now() < endMs; step += 1) {
    const kind = CHANGE_KINDS[step % CHANGE_KINDS.length]!;
    const atMs = Date.now();
    const name = `change-${step}`;
    if (kind === "weights") started.publishVersion(step);
    if (kind === "config") started.publishConfig(step, ["key-1"]);
    if (kind === "evacuation") started.evacuate(name);
    if (kind === "drain") {
      putEndpoint(started, 1_000 + step, { seq: 1, isDraining: true });
    }
    const value = {
      weights: step,
      config: step,
      evacuation: name,
      drain: `x${1_000 + step}`,
    }[kind];
    changes.push({ kind, atMs, value });
    // A random part, because changes in step with the reads are known sooner.
    await wait(CHANGE_INTERVAL_MS * (0.75 + Math.random() / 2));
  }
  return changes;
}

function describeDelays(
  { gateways: started }: PlatformFleet,
  changes: readonly PublishedChange[],
) {
  const logs = started.map(({ logs: read }) => parseRecords(read()).records);
  return Object.fromEntries(
    CHANGE_KINDS.map((kind) => {
      const delays = changes
        .filter((change) => change.kind === kind)
        .flatMap((change) =>
          logs.map((records) => {
            const line = records.find(
              (record) =>
                record.message === KNOWN_BY[kind] &&
                Object.values(record.fields).includes(change.value),
            );
            return line === undefined
              ? Infinity
              : Date.parse(line.time) - change.atMs;
          }),
        );
      const known = delays.filter(Number.isFinite);
      const { p50, p95 } = computePercentiles(known);
      const max = Math.max(0, ...known);
      return [kind, { p50, p95, max, unknown: delays.length - known.length }];
    }),
  );
}
