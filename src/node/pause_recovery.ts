/**
 * After a pause of this process, no new work may be accepted until versions
 * have been compared with a peer or the platform, or a timeout has passed.
 */

import type { Logger } from "../logging/mod.ts";
import { createPauseDetector } from "../membership/mod.ts";
import type { Clock } from "../membership/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Comparison } from "../snapshots/mod.ts";
import type { Peer } from "../wire/mod.ts";

const PEERS_TO_COMPARE = 3;
/** Work resumes after this time, as the platform may be down for hours. */
const RECOVERY_TIMEOUT_MS = 2_000;
/** Peers are asked this much earlier than the platform, which may be stale. */
const PLATFORM_READ_DELAY_MS = 500;
const RETRY_INTERVAL_MS = 100;

export interface PauseRecovery {
  isRecovering(): boolean;
  close(): void;
}

export interface PauseRecoveryOptions {
  readonly clock: Clock;
  readonly peers: () => readonly Peer[];
  readonly compare: (peer: Peer) => Promise<Comparison>;
  readonly readPlatform: () => Promise<boolean>;
  readonly registry: Registry;
  readonly logger: Logger;
}

export function createPauseRecovery(
  options: PauseRecoveryOptions,
): PauseRecovery {
  const { clock, peers, compare, readPlatform, registry, logger } = options;
  const checks = registry.counter(
    "wake_checks_total",
    "Version comparisons after a pause by outcome",
  );
  let pauseCount = 0;
  let isRecovering = false;
  const timers = new Set<NodeJS.Timeout>();

  function wait(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        timers.delete(timer);
        resolve();
      }, ms);
      timers.add(timer);
    });
  }

  async function compareWithPeers(): Promise<boolean> {
    const candidates = [...peers()]
      .sort(() => Math.random() - 0.5)
      .slice(0, PEERS_TO_COMPARE);
    const comparisons = candidates.map(async (peer) => {
      if ((await compare(peer)) !== "compared") throw new Error("Not compared");
    });
    return Promise.any(comparisons).then(
      () => true,
      () => false,
    );
  }

  /** Peers close idle connections, so they may have to be reconnected first. */
  async function compareWithPeersUntilDone(
    isCurrent: () => boolean,
  ): Promise<"peer"> {
    while (isCurrent() && !(await compareWithPeers()))
      await wait(RETRY_INTERVAL_MS);
    return "peer";
  }

  async function readPlatformUntilDone(
    isCurrent: () => boolean,
  ): Promise<"platform"> {
    await wait(PLATFORM_READ_DELAY_MS);
    while (isCurrent() && !(await readPlatform()))
      await wait(RETRY_INTERVAL_MS);
    return "platform";
  }

  async function recover(pausedMs: number) {
    const pauseNumber = ++pauseCount;
    isRecovering = true;
    logger.warn({ paused_ms: Math.round(pausedMs) }, "Resumed after a pause");
    const timeout = wait(RECOVERY_TIMEOUT_MS).then(() => "limit" as const);
    const isCurrent = () => pauseNumber === pauseCount && isRecovering;
    const outcome = await Promise.race([
      compareWithPeersUntilDone(isCurrent),
      readPlatformUntilDone(isCurrent),
      timeout,
    ]);
    if (pauseNumber !== pauseCount) return;
    checks.increment({ outcome });
    isRecovering = false;
  }

  const detector = createPauseDetector({
    clock,
    onResume: (pausedMs) => void recover(pausedMs),
  });

  return {
    isRecovering: () => isRecovering || detector.isPaused(),
    close() {
      detector.close();
      timers.forEach((timer) => clearTimeout(timer));
    },
  };
}
