/**
 * Keeps a connection open to each wanted host. One task per target dials, waits
 * until the connection closes, and dials again after a backoff.
 */

import type { Result } from "neverthrow";
import type { Registry } from "../metrics/mod.ts";
import { createBackoff, delay } from "../platform/mod.ts";
import type { Peer } from "../wire/mod.ts";
import type { Connections } from "./connections.ts";

const INITIAL_BACKOFF_MS = 100;
/** Hosts have to reconnect well within 5 s after a partition heals. */
const MAX_BACKOFF_MS = 2_000;
/** Delay before a connection that is no longer wanted is closed. */
const DEFAULT_UNWANTED_CLOSE_DELAY_MS = 60_000;

export interface DialTarget {
  readonly address: string;
  /** Absent for a seed, whose host name is not known yet. */
  readonly host?: string;
}

export interface Dialler {
  /** Replaces the set of wanted hosts. */
  setTargets(targets: readonly DialTarget[]): void;
  close(): void;
}

export interface DiallerOptions {
  readonly connections: Connections;
  readonly dial: (address: string) => Promise<Result<Peer, string>>;
  readonly registry: Registry;
  readonly unwantedCloseDelayMs?: number;
}

export function createDialler(options: DiallerOptions): Dialler {
  const {
    connections,
    dial,
    registry,
    unwantedCloseDelayMs = DEFAULT_UNWANTED_CLOSE_DELAY_MS,
  } = options;
  const tasks = new Map<string, AbortController>();
  const failures = registry.counter(
    "peer_dial_failures_total",
    "Failed attempts to connect to peers by reason",
  );
  let wantedHosts: ReadonlySet<string> = new Set();
  let isClosed = false;

  async function keepConnected(target: DialTarget, signal: AbortSignal) {
    const backoff = createBackoff({
      firstMs: INITIAL_BACKOFF_MS,
      maxMs: MAX_BACKOFF_MS,
    });
    let host = target.host;
    while (!signal.aborted) {
      const peer = host === undefined ? undefined : connections.find(host);
      if (peer !== undefined) {
        const openedAtMs = performance.now();
        await waitUntilClosed(peer, signal);
        // A peer that accepts and closes at once counts as a failure.
        if (performance.now() - openedAtMs > MAX_BACKOFF_MS) backoff.reset();
        // Both sides may notice the loss and dial at the same time.
        await delay(backoff.nextMs(), signal);
        continue;
      }
      const dialled = await dial(target.address);
      if (dialled.isErr()) {
        failures.increment({ reason: dialled.error });
        await delay(backoff.nextMs(), signal);
        continue;
      }
      if (signal.aborted) {
        dialled.value.close("not_wanted");
        return;
      }
      const { hello } = dialled.value;
      connections.add(dialled.value, { isDialled: true });
      host ??= hello.host;
      if (host !== hello.host) {
        // The host list is stale: another host has this address now.
        failures.increment({ reason: "other_host" });
        await delay(backoff.nextMs(), signal);
      } else if (connections.find(host) === undefined) {
        // The connection leads to this process or an earlier incarnation.
        await delay(MAX_BACKOFF_MS, signal);
      }
    }
    if (host !== undefined) closeIfUnwanted(host);
  }

  function closeIfUnwanted(host: string) {
    const peer = connections.find(host);
    if (peer === undefined || !connections.isDialled(host)) return;
    const timer = setTimeout(() => {
      if (!wantedHosts.has(host) && !isClosed)
        connections.drain(peer, "not_wanted");
    }, unwantedCloseDelayMs);
    timer.unref();
    void peer.closed.then(() => clearTimeout(timer));
  }

  return {
    setTargets(targets) {
      if (isClosed) return;
      const wanted = new Map(targets.map((t) => [createTargetKey(t), t]));
      wantedHosts = new Set(targets.flatMap((t) => t.host ?? []));
      [...tasks]
        .filter(([key]) => !wanted.has(key))
        .forEach(([key, controller]) => {
          tasks.delete(key);
          controller.abort();
        });
      [...wanted]
        .filter(([key]) => !tasks.has(key))
        .forEach(([key, target]) => {
          const controller = new AbortController();
          tasks.set(key, controller);
          void keepConnected(target, controller.signal);
        });
    },
    close() {
      isClosed = true;
      tasks.forEach((controller) => controller.abort());
      tasks.clear();
    },
  };
}

function createTargetKey({ host, address }: DialTarget): string {
  return `${host ?? ""} ${address}`;
}

function waitUntilClosed(peer: Peer, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    function finish() {
      signal.removeEventListener("abort", finish);
      resolve();
    }
    if (signal.aborted) return resolve();
    signal.addEventListener("abort", finish);
    void peer.closed.then(finish);
  });
}
