/**
 * Finds the requests during which the endpoint crashed. All requests whose
 * connection broke are candidates; one that already crashed another endpoint
 * takes the blame alone, and such requests run one at a time, so that requests
 * that merely ran beside it are not quarantined.
 */

import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { CrashNotice } from "../wire/mod.ts";

export interface RunningCall {
  end(isBroken: boolean): void;
}

export interface CrashWatch {
  /** False while another suspect runs here. */
  mayStart(fingerprint: string): boolean;
  start(fingerprint: string): RunningCall;
}

export interface CrashWatchOptions {
  readonly endpoint: string;
  readonly monitor: EndpointMonitor;
  readonly quarantine: Quarantine;
  readonly wallMs: () => number;
  readonly onCrash: (notice: CrashNotice) => void;
}

interface BrokenCall {
  readonly fingerprint: string;
  readonly bootId: string | undefined;
  readonly brokenAtMs: number;
}

type Verdict = "crashed" | "alive" | "undecided";

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { endpoint, monitor, quarantine, wallMs, onCrash } = options;
  const runningSuspects = new Set<string>();
  let broken: readonly BrokenCall[] = [];

  monitor.onStatus((status) => {
    if (broken.length === 0) return;
    const judged = broken.map((call) => ({
      call,
      verdict: judge(call, status),
    }));
    broken = judged
      .filter(({ verdict }) => verdict === "undecided")
      .map(({ call }) => call);
    blame(
      judged
        .filter(({ verdict }) => verdict === "crashed")
        .map(({ call }) => call.fingerprint),
    );
  });

  function blame(fingerprints: readonly string[]) {
    const suspects = fingerprints.filter((fingerprint) =>
      quarantine.isSuspect(fingerprint),
    );
    const blamed = suspects.length > 0 ? suspects : fingerprints;
    [...new Set(blamed)].forEach((fingerprint) =>
      onCrash(quarantine.record(fingerprint, endpoint)),
    );
  }

  return {
    mayStart: (fingerprint) =>
      !quarantine.isSuspect(fingerprint) || runningSuspects.size === 0,
    start(fingerprint) {
      const { bootId } = monitor.status();
      const isSuspect = quarantine.isSuspect(fingerprint);
      if (isSuspect) runningSuspects.add(fingerprint);
      return {
        end(isBroken) {
          if (isSuspect) runningSuspects.delete(fingerprint);
          if (!isBroken) return;
          const brokenAtMs = wallMs();
          broken = [...broken, { fingerprint, bootId, brokenAtMs }];
        },
      };
    },
  };
}

function judge(call: BrokenCall, status: EndpointStatus): Verdict {
  if (status.phase === "unknown") return "undecided";
  if (call.bootId === undefined) {
    // A plain service has no boot id; it crashed if it no longer listens.
    if (status.phase === "down") return "crashed";
    return status.bootId === undefined ? "alive" : "undecided";
  }
  if (status.bootId === undefined) return "undecided";
  if (status.bootId !== call.bootId) return "crashed";
  return status.reportedAtMs > call.brokenAtMs ? "alive" : "undecided";
}
