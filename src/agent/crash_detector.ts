/**
 * Determines which requests crashed the endpoint. Every request whose
 * connection was lost in a crash is a candidate; if one of them already crashed
 * another endpoint (a suspect), only the suspect is recorded. Suspects start
 * one at a time, so that requests that ran concurrently with one are not
 * quarantined.
 */

import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { CrashNotice } from "../wire/mod.ts";

/** After this time of running, a suspect no longer delays the next suspect. */
const EXCLUSIVE_RUN_MS = 2_000;

/**
 * Permission to start a request; released when the request ends or has run for
 * `EXCLUSIVE_RUN_MS`.
 */
export interface StartPermit {
  release(): void;
}

export interface TrackedRequest {
  finish(isConnectionBroken: boolean): void;
}

export interface CrashDetector {
  /** Resolves at once unless the request is a suspect; undefined on timeout. */
  waitForPermit(
    fingerprint: string,
    timeoutMs: number,
  ): Promise<StartPermit | undefined>;
  trackRequest(fingerprint: string, permit: StartPermit): TrackedRequest;
}

export interface CrashDetectorOptions {
  readonly endpoint: string;
  readonly monitor: EndpointMonitor;
  readonly quarantine: Quarantine;
  readonly wallMs: () => number;
  /** A connection was lost; whether the endpoint crashed is not yet known. */
  readonly onConnectionLost: (notice: CrashNotice) => void;
  readonly onCrash: (notice: CrashNotice) => void;
}

interface BrokenRequest {
  readonly fingerprint: string;
  readonly bootId: string | undefined;
  readonly startedAtMs: number;
  readonly brokenAtMs: number;
}

type CrashAssessment = "crashed" | "alive" | "undecided";

const UNRESTRICTED_PERMIT: StartPermit = { release: () => undefined };

export function createCrashDetector(
  options: CrashDetectorOptions,
): CrashDetector {
  const { endpoint, monitor, quarantine, wallMs } = options;
  const { onConnectionLost, onCrash } = options;
  let brokenRequests: readonly BrokenRequest[] = [];
  let lastPermitReleased: Promise<void> = Promise.resolve();

  monitor.onStatus((status) => {
    if (brokenRequests.length === 0) return;
    const assessed = brokenRequests.map((request) => ({
      request,
      assessment: assessCrash(request, status),
    }));
    brokenRequests = assessed
      .filter(({ assessment }) => assessment === "undecided")
      .map(({ request }) => request);
    recordCrashes(
      assessed
        .filter(({ assessment }) => assessment === "crashed")
        .map(({ request }) => request),
    );
  });

  function recordCrashes(requests: readonly BrokenRequest[]) {
    const suspects = requests.filter(({ fingerprint }) =>
      quarantine.isSuspect(fingerprint),
    );
    const withinExclusiveRun = suspects.filter(
      ({ startedAtMs, brokenAtMs }) =>
        brokenAtMs - startedAtMs <= EXCLUSIVE_RUN_MS,
    );
    const [crashing = []] = [withinExclusiveRun, suspects, requests].filter(
      (candidates) => candidates.length > 0,
    );
    [...new Set(crashing.map(({ fingerprint }) => fingerprint))].forEach(
      (fingerprint) => onCrash(quarantine.recordCrash(fingerprint, endpoint)),
    );
  }

  return {
    async waitForPermit(fingerprint, timeoutMs) {
      if (!quarantine.isSuspect(fingerprint)) return UNRESTRICTED_PERMIT;
      const previousReleased = lastPermitReleased;
      let release: () => void;
      const released = new Promise<void>((resolve) => (release = resolve));
      lastPermitReleased = previousReleased.then(() => released);
      const timeout = createTimeout(timeoutMs);
      const isPermitted = await Promise.race([
        previousReleased.then(() => true),
        timeout.promise,
      ]);
      timeout.clear();
      if (isPermitted) return { release: release! };
      release!();
      return undefined;
    },
    trackRequest(fingerprint, permit) {
      const { bootId } = monitor.status();
      const startedAtMs = wallMs();
      const timer =
        permit === UNRESTRICTED_PERMIT
          ? undefined
          : setTimeout(permit.release, EXCLUSIVE_RUN_MS);
      return {
        finish(isConnectionBroken) {
          clearTimeout(timer);
          permit.release();
          if (!isConnectionBroken) return;
          const brokenAtMs = wallMs();
          const request = { fingerprint, bootId, startedAtMs, brokenAtMs };
          brokenRequests = [...brokenRequests, request];
          onConnectionLost(quarantine.recordLikelyCrash(fingerprint, endpoint));
          void monitor.poll();
        },
      };
    },
  };
}

function createTimeout(durationMs: number) {
  let timer: NodeJS.Timeout;
  const promise = new Promise<false>((resolve) => {
    timer = setTimeout(() => resolve(false), durationMs);
  });
  return { promise, clear: () => clearTimeout(timer) };
}

function assessCrash(
  request: BrokenRequest,
  status: EndpointStatus,
): CrashAssessment {
  if (status.phase === "unknown") return "undecided";
  // A plain service has no boot id; it has crashed if it no longer accepts
  // connections.
  const isPlain = request.bootId === undefined;
  if (status.phase === "down") return isPlain ? "crashed" : "undecided";
  if (isPlain) return status.bootId === undefined ? "alive" : "undecided";
  if (status.bootId === undefined) return "undecided";
  if (status.bootId !== request.bootId) return "crashed";
  return status.reportedAtMs > request.brokenAtMs ? "alive" : "undecided";
}
