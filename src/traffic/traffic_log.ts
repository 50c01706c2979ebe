/**
 * Logs a line each second that helps to tell a full link from a busy process:
 * bytes by purpose and data centre, the longest round trip to each data
 * centre, and the utilisation of the event loop.
 */

import { performance } from "node:perf_hooks";
import type { Logger } from "../logging/mod.ts";
import type { Counter, Registry } from "../metrics/mod.ts";
import { createWireCounters } from "../wire/mod.ts";
import type { Peer } from "../wire/mod.ts";
import { createTrafficCounters } from "./traffic_counters.ts";

const INTERVAL_MS = 1_000;
const US_PER_MS = 1_000;

export interface TrafficLog {
  close(): void;
}

export interface TrafficLogOptions {
  readonly registry: Registry;
  readonly logger: Logger;
  readonly listPeers: () => readonly Peer[];
}

export function startTrafficLog(options: TrafficLogOptions): TrafficLog {
  const { registry, logger, listPeers } = options;
  const wire = createWireCounters(registry);
  const traffic = createTrafficCounters(registry);
  const readPeerBytes = createDeltaReader(wire.bytesSent);
  const readSentBytes = createDeltaReader(traffic.bytesSent);
  const readReceivedBytes = createDeltaReader(traffic.bytesReceived);
  const readNotices = createDeltaReader(wire.noticesReceived);
  let loopUtilization = performance.eventLoopUtilization();
  let cpuUsage = process.cpuUsage();

  function log() {
    const loopDelta = performance.eventLoopUtilization(loopUtilization);
    loopUtilization = performance.eventLoopUtilization();
    const cpuDelta = process.cpuUsage(cpuUsage);
    cpuUsage = process.cpuUsage();
    const peers = listPeers();
    logger.info(
      {
        peers: peers.length,
        sentBytes: { ...readPeerBytes(), ...readSentBytes() },
        receivedBytes: readReceivedBytes(),
        receivedNotices: readNotices(),
        roundTripMs: findLongestRoundTrips(peers),
        loopBusyShare: Number(loopDelta.utilization.toFixed(2)),
        processorMs: Math.round((cpuDelta.user + cpuDelta.system) / US_PER_MS),
      },
      "traffic of the last second",
    );
  }

  const timer = setInterval(log, INTERVAL_MS);
  timer.unref();
  return { close: () => clearInterval(timer) };
}

/** Returns a function that reads the non-zero increases since its last call. */
function createDeltaReader(counter: Counter) {
  const previousValues = new Map<string, number>();
  return (): Readonly<Record<string, number>> =>
    Object.fromEntries(
      counter.samples().flatMap(({ labels, value }) => {
        const name = Object.values(labels).join(" ");
        const added = value - (previousValues.get(name) ?? 0);
        previousValues.set(name, value);
        return added === 0 ? [] : [[name, added] as const];
      }),
    );
}

function findLongestRoundTrips(
  peers: readonly Peer[],
): Readonly<Record<string, number>> {
  const longestMs = new Map<string, number>();
  peers.forEach((peer) => {
    const ms = Math.round(peer.roundTripMs?.() ?? 0);
    const { dataCentre } = peer.hello;
    longestMs.set(dataCentre, Math.max(ms, longestMs.get(dataCentre) ?? 0));
  });
  return Object.fromEntries(longestMs);
}
