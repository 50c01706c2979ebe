/**
 * After a pause of this process no new work may be taken until versions have
 * been compared with a peer or the platform, or a limit has passed.
 */

import type { Logger } from "../logging/mod.ts";
import { createWakeDetector } from "../membership/mod.ts";
import type { Clock } from "../membership/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Comparison } from "../snapshots/mod.ts";
import type { Peer } from "../wire/mod.ts";

const PEERS_TO_COMPARE = 3;
/** The configuration service may be down for hours, so work resumes then. */
const WAKE_LIMIT_MS = 2_000;
/** Peers have this long to answer first: the platform may be stale. */
const PLATFORM_DELAY_MS = 500;
const RETRY_MS = 100;

export interface WakeCheck {
  isWaking(): boolean;
  close(): void;
}

export interface WakeCheckOptions {
  readonly clock: Clock;
  readonly peers: () => readonly Peer[];
  readonly compare: (peer: Peer) => Promise<Comparison>;
  readonly readPlatform: () => Promise<boolean>;
  readonly registry: Registry;
  readonly logger: Logger;
}

export function createWakeCheck(options: WakeCheckOptions): WakeCheck {
  const { clock, peers, compare, readPlatform, registry, logger } = options;
  const wakes = registry.counter(
    "wake_checks_total",
    "Version comparisons after a pause by outcome",
  );
  let latestCheck = 0;
  let isWaking = false;
  const timers = new Set<NodeJS.Timeout>();

  function waitMs(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        timers.delete(timer);
        resolve();
      }, ms);
      timers.add(timer);
    });
  }

  async function compareWithPeers(): Promise<boolean> {
    const asked = [...peers()]
      .sort(() => Math.random() - 0.5)
      .slice(0, PEERS_TO_COMPARE);
    const compared = asked.map(async (peer) => {
      if ((await compare(peer)) !== "compared") throw new Error("Not compared");
    });
    return Promise.any(compared).then(
      () => true,
      () => false,
    );
  }

  /** Peers close a silent connection, so they may have to reconnect first. */
  async function askPeers(isCurrent: () => boolean): Promise<"peer"> {
    while (isCurrent() && !(await compareWithPeers())) await waitMs(RETRY_MS);
    return "peer";
  }

  async function askPlatform(isCurrent: () => boolean): Promise<"platform"> {
    await waitMs(PLATFORM_DELAY_MS);
    while (isCurrent() && !(await readPlatform())) await waitMs(RETRY_MS);
    return "platform";
  }

  async function onWake(pausedMs: number) {
    const check = ++latestCheck;
    isWaking = true;
    logger.warn({ paused_ms: Math.round(pausedMs) }, "Resumed after a pause");
    const limit = waitMs(WAKE_LIMIT_MS).then(() => "limit" as const);
    const isCurrent = () => check === latestCheck && isWaking;
    const outcome = await Promise.race([
      askPeers(isCurrent),
      askPlatform(isCurrent),
      limit,
    ]);
    if (check !== latestCheck) return;
    wakes.increment({ outcome });
    isWaking = false;
  }

  const detector = createWakeDetector({
    clock,
    onWake: (pausedMs) => void onWake(pausedMs),
  });

  return {
    isWaking: () => isWaking || detector.isLate(),
    close() {
      detector.close();
      timers.forEach((timer) => clearTimeout(timer));
    },
  };
}
