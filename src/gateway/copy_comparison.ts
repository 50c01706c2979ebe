/**
 * Compares the copy of a starting entry with those of its peers. A process that
 * starts after the store was restored from an older copy cannot tell that the
 * copy lacks acknowledged changes: with it, revoked API keys would be accepted
 * and routes would revert. The copy is accepted once a peer has shown that it
 * has no newer configuration, or when no peer can tell.
 */

import { isSameEra } from "../directory/mod.ts";
import type { AgeClock, Directory } from "../directory/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { DirectoryReplyNotice, Peer } from "../wire/mod.ts";

const CHECK_INTERVAL_MS = 50;
/** Connections to the first peers take less than this. */
const CONNECT_WAIT_MS = 300;
/** Connected entries reply within milliseconds unless their host has stopped. */
const REPLY_WAIT_MS = 2_000;

/** A reply holds a whole configuration. */
const ASK_INTERVAL_MS = 400;

export interface CopyComparison {
  onReply(peer: Peer, reply: DirectoryReplyNotice): void;
  close(): void;
}

export interface CopyComparisonOptions {
  readonly directory: Directory;
  readonly clock: AgeClock;
  /** Connected entries. */
  readonly listEntries: () => readonly Peer[];
  readonly askForState: (peer: Peer) => void;
  readonly logger: Logger;
}

export function startCopyComparison(
  options: CopyComparisonOptions,
): CopyComparison {
  const { directory, clock, listEntries, askForState, logger } = options;
  const replies = new Map<Peer, DirectoryReplyNotice>();
  let startedAtMs: number | undefined;
  let askedAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  function compare() {
    if (directory.isCopyAccepted()) return stop();
    startedAtMs ??= clock.nowMs();
    timer ??= setInterval(compare, CHECK_INTERVAL_MS);
    const waitedMs = clock.nowMs() - startedAtMs;
    const entries = listEntries();
    const informed = entries.filter(
      (peer) => replies.get(peer)?.ageMs !== undefined,
    );
    const ahead = informed.filter(
      (peer) =>
        (replies.get(peer)?.configVersion ?? 0) > directory.configVersion(),
    );
    const isOverdue = waitedMs >= REPLY_WAIT_MS;
    if (ahead.length > 0 && !isOverdue) return askOnce(ahead[0]!);
    const haveAllReplied =
      waitedMs >= CONNECT_WAIT_MS && entries.every((peer) => replies.has(peer));
    if (informed.length === 0 && !haveAllReplied && !isOverdue) return;
    logger.info(
      {
        ...directory.position(),
        configVersion: directory.configVersion(),
        peers: entries.length,
        informedPeers: informed.length,
        waitedMs,
      },
      "accepted the copy of the published state",
    );
    directory.acceptCopy({
      isSettled:
        informed.length === 0 ||
        informed.some((peer) => isSettledReply(replies.get(peer))),
    });
    stop();
  }

  /**
   * A peer in a former era may have lost the store before the last acknowledged
   * change, so it does not show that the copy holds that change.
   */
  function isSettledReply(reply: DirectoryReplyNotice | undefined): boolean {
    return (
      reply !== undefined &&
      reply.isUnsettled !== true &&
      isSameEra(reply, directory.position())
    );
  }

  /** Peers also connect after the copy has been accepted. */
  function askIfAhead(peer: Peer, { configVersion = 0 }: DirectoryReplyNotice) {
    if (configVersion > directory.configVersion()) askOnce(peer);
  }

  function askOnce(peer: Peer) {
    if (clock.nowMs() - askedAtMs < ASK_INTERVAL_MS) return;
    askedAtMs = clock.nowMs();
    askForState(peer);
  }

  function stop() {
    clearInterval(timer);
    timer = undefined;
  }

  directory.onChange(() => {
    if (timer === undefined) compare();
  });
  return {
    onReply(peer, reply) {
      const hasRead = directory.position().revision > 0;
      if (hasRead && directory.isCopyAccepted()) {
        replies.clear();
        return askIfAhead(peer, reply);
      }
      replies.set(peer, reply);
      compare();
    },
    close: stop,
  };
}
