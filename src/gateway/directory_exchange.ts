/**
 * Copies the published state from other entries when this entry cannot reach
 * the platform's store. Replies include the age of that state, which is
 * counted from when the request was sent, so that it is never underestimated.
 * Positions in the store are compared with their era: an entry that still knows
 * the former era of a restored store confirms nothing, but may have the newest
 * configuration.
 */

import { comparePositions, isSameEra } from "../directory/mod.ts";
import type { AgeClock, Directory, DirectoryChange } from "../directory/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { startCopyComparison } from "./copy_comparison.ts";
import { createDirectoryNews } from "./directory_news.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { NEWS_ASK_ID } from "../wire/mod.ts";
import type {
  DirectoryAskNotice,
  DirectoryReplyNotice,
  FleetWeights,
  Peer,
} from "../wire/mod.ts";
import { watchNewVersions } from "./new_versions.ts";
import { startPeerFeed } from "./peer_feed.ts";
import type { PeerFeed } from "./peer_feed.ts";
import { decodeState, encodeState } from "./state_codec.ts";

const CHECK_INTERVAL_MS = 400;
/** Reads of the store normally confirm the directory about once a second. */
const MAX_AGE_BEFORE_ASK_MS = 1_400;
/**
 * Entries that are asked for the publication time of a new version. The entries
 * read the store at different times within a second, so the latest of this many
 * bounds is on average about a tenth of a second before the publication.
 */
const MAX_DATE_SOURCES = 8;

export interface DirectoryExchange {
  /** True while other entries provide news and proof of the copy's age. */
  isFed(): boolean;
  /** Tells the other entries what this one has read from the store. */
  sendNews(changes: readonly DirectoryChange[]): void;
  /** Contact to the store has been lost or regained. */
  onContactChange(): void;
  /** This process may have been paused: other entries no longer feed it. */
  onPause(): void;
  close(): void;
}

export interface DirectoryExchangeOptions {
  readonly directory: Directory;
  readonly clock: AgeClock;
  readonly mesh: Mesh;
  readonly isInOwnRegion: (dataCentre: string) => boolean;
  readonly logger: Logger;
  /** Absent if this entry always reads the store itself and feeds nobody. */
  readonly feed?: FeedOptions | undefined;
}

export interface FeedOptions {
  readonly selfHost: string;
  readonly dataCentre: string;
  readonly isInContact: () => boolean;
  /** This entry has to read the store itself again. */
  readonly onEnd: () => void;
  readonly registry: Registry;
  readonly random: () => number;
}

type AskPurpose = "state" | "dates" | "content";

export function startDirectoryExchange(
  options: DirectoryExchangeOptions,
): DirectoryExchange {
  const { directory, clock, mesh, isInOwnRegion, logger } = options;
  let askId = 0;
  const sentAtMsByAskId = new Map<number, number>();

  function listEntries(): readonly Peer[] {
    return mesh.peers().filter(({ hello }) => hello.role === "entry");
  }

  function createAskNotice(purpose: AskPurpose): DirectoryAskNotice {
    askId += 1;
    sentAtMsByAskId.set(askId, clock.nowMs());
    sentAtMsByAskId.delete(askId - 16);
    return {
      topic: "directory_ask",
      askId,
      ...directory.position(),
      configVersion: directory.configVersion(),
      ...(purpose === "dates" && { isForDates: true }),
      ...(purpose === "content" && { isForContent: true }),
    };
  }

  /**
   * Asks one entry in the same region, where traffic is cheap, and one in
   * another region, because all entries of a region can lose the store. The
   * next request goes to other entries.
   */
  function askEntries() {
    const notice = createAskNotice("state");
    const entries = listEntries();
    const isNear = ({ hello }: Peer) => isInOwnRegion(hello.dataCentre);
    const groups = [
      entries.filter(isNear),
      entries.filter((peer) => !isNear(peer)),
    ];
    groups.forEach((group) => group[askId % group.length]?.sendNotice(notice));
  }

  /**
   * Those that read the store know best. Each request starts at another entry,
   * so that the others are asked as often.
   */
  function askForDates() {
    const notice = createAskNotice("dates");
    const entries = listEntries();
    const first = Math.floor(Math.random() * entries.length);
    const turned = [...entries.slice(first), ...entries.slice(0, first)];
    const isReader = (peer: Peer) => feed?.isReader(peer) === true;
    [...turned.filter(isReader), ...turned.filter((peer) => !isReader(peer))]
      .slice(0, MAX_DATE_SOURCES)
      .forEach((peer) => peer.sendNotice(notice));
  }

  function sendReply(peer: Peer, notice: DirectoryAskNotice) {
    const ageMs = directory.ageMs();
    const isAgeKnown = Number.isFinite(ageMs);
    // Earlier releases expect an age in each reply.
    if (!isAgeKnown && notice.configVersion === undefined) return;
    const isUnsettled = directory.settledSinceMs() > clock.nowMs();
    const content =
      isAgeKnown && notice.isForContent === true
        ? directory.listContentSince(notice, notice.configVersion ?? 0)
        : undefined;
    peer.sendNotice({
      topic: "directory_reply",
      askId: notice.askId,
      ...directory.position(),
      configVersion: directory.configVersion(),
      ...(isAgeKnown && { ageMs }),
      ...(isUnsettled && { isUnsettled }),
      ...(isReading() && { isReading: true }),
      ...(content === undefined
        ? {
            ...(isAgeKnown && createUpdate(notice)),
            wantedWeights: listDatedWeights(directory, clock.nowMs()),
          }
        : {
            ...(content.length > 0 && encodeState(content)),
            digest: directory.digest(),
          }),
    });
  }

  function createUpdate(notice: DirectoryAskNotice) {
    if (notice.isForDates === true) return {};
    const { changes, isWhole } = directory.createUpdateSince(
      notice,
      notice.configVersion,
    );
    const isNewer = comparePositions(directory.position(), notice) > 0;
    return changes.length > 0 || isNewer ? encodeState(changes, isWhole) : {};
  }

  function isReading(): boolean {
    return feed !== undefined && !feed.isFed() && options.feed!.isInContact();
  }

  function onReply(peer: Peer, notice: DirectoryReplyNotice) {
    const sentAtMs = sentAtMsByAskId.get(notice.askId);
    if (notice.askId === NEWS_ASK_ID) news.apply(peer, notice);
    else if (sentAtMs === undefined) return;
    else if (notice.digest === undefined) applyReply(peer, notice, sentAtMs);
    else applyContent(peer, notice, sentAtMs);
    feed?.onNotice(peer, notice);
  }

  /**
   * The copy is as old as the reader's if it says the same. Otherwise this entry
   * has news that the reader lacks, or lacks some itself, and asks for all
   * changes, renewed records included.
   */
  function applyContent(
    peer: Peer,
    notice: DirectoryReplyNotice,
    sentAtMs: number,
  ) {
    const { state, ageMs, digest } = notice;
    if (ageMs === undefined || !isSameEra(notice, directory.position())) return;
    const changes = state === undefined ? [] : decodeState(state);
    directory.apply(changes ?? [], directory.position());
    if (comparePositions(notice, directory.position()) < 0) return;
    if (digest !== directory.digest()) return askForState(peer);
    directory.apply([], notice);
    directory.confirm(sentAtMs - ageMs);
  }

  function askForState(peer: Peer) {
    peer.sendNotice(createAskNotice("state"));
  }

  function applyReply(
    peer: Peer,
    notice: DirectoryReplyNotice,
    sentAtMs: number,
  ) {
    const { state, ageMs } = notice;
    notice.wantedWeights?.forEach(
      ({ model, version, publishedForMs, isAfterOutage }) =>
        directory.raiseNotBefore({
          model,
          version,
          notBeforeMs: sentAtMs - publishedForMs,
          isAfterOutage,
        }),
    );
    const former = directory.position();
    if (state !== undefined) {
      const changes = decodeState(state);
      if (changes === undefined) return;
      const isReplaced =
        notice.isPartial !== true && comparePositions(notice, former) > 0;
      if (isReplaced) directory.replace(changes, notice);
      else directory.apply(changes, notice);
    }
    copyComparison.onReply(peer, notice);
    // Without the changes, the local state is older than the reply says.
    if (ageMs === undefined || !hasStateOf(notice)) return;
    directory.confirm(sentAtMs - ageMs);
    logger.info(
      {
        peer: peer.hello.host,
        ...directory.position(),
        former,
        ageMs: directory.ageMs(),
      },
      "took over published state from a peer",
    );
  }

  /** True if this entry has all that the peer had when it replied. */
  function hasStateOf(notice: DirectoryReplyNotice): boolean {
    return (
      comparePositions(notice, directory.position()) === 0 &&
      directory.configVersion() >= (notice.configVersion ?? 0)
    );
  }

  const copyComparison = startCopyComparison({
    directory,
    clock,
    listEntries,
    askForState,
    logger,
  });
  const news = createDirectoryNews({
    directory,
    listEntries,
    isReading,
    askForState,
  });
  const feed = options.feed && startFeed(options.feed);

  function startFeed({ onEnd, ...feedOptions }: FeedOptions): PeerFeed {
    return startPeerFeed({
      ...feedOptions,
      ...{ mesh, logger, ageMs: directory.ageMs },
      ask(peer) {
        const notice = createAskNotice("content");
        peer.sendNotice(notice);
        return notice.askId;
      },
      onChange(isFed) {
        news.announce();
        if (!isFed) onEnd();
      },
    });
  }

  // A starting entry does not know how long ago a version was published.
  mesh.onPeer((peer) => {
    if (peer.hello.role === "entry") peer.sendNotice(createAskNotice("dates"));
  });
  mesh.onMeshNotice("directory_ask", (peer, notice) =>
    sendReply(peer, notice as DirectoryAskNotice),
  );
  mesh.onMeshNotice("directory_reply", (peer, notice) =>
    onReply(peer, notice as DirectoryReplyNotice),
  );
  const newVersions = watchNewVersions(directory, askForDates);
  const timer = setInterval(() => {
    if (directory.ageMs() > MAX_AGE_BEFORE_ASK_MS) askEntries();
  }, CHECK_INTERVAL_MS);
  return {
    isFed: () => feed?.isFed() === true,
    sendNews: news.send,
    onContactChange: news.announce,
    onPause: () => feed?.reset(),
    close() {
      feed?.close();
      news.close();
      clearInterval(timer);
      newVersions.close();
      copyComparison.close();
    },
  };
}

/** Versions whose publication time has a known lower bound. */
function listDatedWeights(
  directory: Directory,
  nowMs: number,
): readonly FleetWeights[] {
  return directory
    .wantedModels()
    .flatMap((model) => directory.wantedWeights(model))
    .filter(({ notBeforeMs }) => Number.isFinite(notBeforeMs))
    .map(({ model, version, notBeforeMs, isAfterOutage }) => ({
      model,
      version,
      publishedForMs: nowMs - notBeforeMs,
      ...(isAfterOutage === true && { isAfterOutage }),
    }));
}
