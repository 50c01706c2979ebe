/**
 * Finds the requests during which the endpoint crashed. All requests whose
 * connection broke are candidates; one that already crashed another endpoint
 * takes the blame alone. Such suspects start one after the other, so that
 * requests that merely ran beside one are not quarantined with it.
 */

import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import type { Quarantine } from "../quarantine/mod.ts";
import type { CrashNotice } from "../wire/mod.ts";

/** A suspect that has run for this long no longer holds up the next one. */
const TURN_MS = 2_000;

/** Permission to start; ends with the call or after `TURN_MS` of running. */
export interface Turn {
  release(): void;
}

export interface RunningCall {
  end(isBroken: boolean): void;
}

export interface CrashWatch {
  /** Immediate unless the request is a suspect; undefined if time ran out. */
  waitForTurn(fingerprint: string, limitMs: number): Promise<Turn | undefined>;
  start(fingerprint: string, turn: Turn): RunningCall;
}

export interface CrashWatchOptions {
  readonly endpoint: string;
  readonly monitor: EndpointMonitor;
  readonly quarantine: Quarantine;
  readonly wallMs: () => number;
  /** A connection broke; whether the endpoint crashed is not certain yet. */
  readonly onBroken: (notice: CrashNotice) => void;
  readonly onCrash: (notice: CrashNotice) => void;
}

interface BrokenCall {
  readonly fingerprint: string;
  readonly bootId: string | undefined;
  readonly startedAtMs: number;
  readonly brokenAtMs: number;
}

type Verdict = "crashed" | "alive" | "undecided";

const FREE_TURN: Turn = { release: () => undefined };

export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { endpoint, monitor, quarantine, wallMs } = options;
  const { onBroken, onCrash } = options;
  let broken: readonly BrokenCall[] = [];
  let lastTurn: Promise<void> = Promise.resolve();

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
        .map(({ call }) => call),
    );
  });

  function blame(calls: readonly BrokenCall[]) {
    const suspects = calls.filter(({ fingerprint }) =>
      quarantine.isSuspect(fingerprint),
    );
    const inTurn = suspects.filter(
      ({ startedAtMs, brokenAtMs }) => brokenAtMs - startedAtMs <= TURN_MS,
    );
    const [blamed = []] = [inTurn, suspects, calls].filter(
      (candidates) => candidates.length > 0,
    );
    [...new Set(blamed.map(({ fingerprint }) => fingerprint))].forEach(
      (fingerprint) => onCrash(quarantine.record(fingerprint, endpoint)),
    );
  }

  return {
    async waitForTurn(fingerprint, limitMs) {
      if (!quarantine.isSuspect(fingerprint)) return FREE_TURN;
      const previous = lastTurn;
      let release: () => void;
      const released = new Promise<void>((resolve) => (release = resolve));
      lastTurn = previous.then(() => released);
      const limit = createLimit(limitMs);
      const hasTurn = await Promise.race([
        previous.then(() => true),
        limit.promise,
      ]);
      limit.clear();
      if (hasTurn) return { release: release! };
      release!();
      return undefined;
    },
    start(fingerprint, turn) {
      const { bootId } = monitor.status();
      const startedAtMs = wallMs();
      const timer =
        turn === FREE_TURN ? undefined : setTimeout(turn.release, TURN_MS);
      return {
        end(isBroken) {
          clearTimeout(timer);
          turn.release();
          if (!isBroken) return;
          const brokenAtMs = wallMs();
          const call = { fingerprint, bootId, startedAtMs, brokenAtMs };
          broken = [...broken, call];
          onBroken(quarantine.recordPreliminary(fingerprint, endpoint));
          void monitor.poll();
        },
      };
    },
  };
}

function createLimit(limitMs: number) {
  let timer: NodeJS.Timeout;
  const promise = new Promise<false>((resolve) => {
    timer = setTimeout(() => resolve(false), limitMs);
  });
  return { promise, clear: () => clearTimeout(timer) };
}

function judge(call: BrokenCall, status: EndpointStatus): Verdict {
  if (status.phase === "unknown") return "undecided";
  // A plain service has no boot id; it crashed if it no longer listens.
  const isPlain = call.bootId === undefined;
  if (status.phase === "down") return isPlain ? "crashed" : "undecided";
  if (isPlain) return status.bootId === undefined ? "alive" : "undecided";
  if (status.bootId === undefined) return "undecided";
  if (status.bootId !== call.bootId) return "crashed";
  return status.reportedAtMs > call.brokenAtMs ? "alive" : "undecided";
}
